package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RemoteEnginesTest {
    private static final String SERVICE = Samples.MODEL_SERVICE.name();
    private static final long PREFIX_HASH = 7;

    private final RemoteEngines engines =
            new RemoteEngines(Map.of("own-1", "own", "small-1", "small", "large-1", "large"), "own");

    private static TargetEntry engine(String id, String dataCentre, boolean leaving) {
        return Samples.target(id, dataCentre, leaving, 0);
    }

    private Option<String> affinityTarget(String... excludedRegions) {
        return engines.affinityTarget(SERVICE, PREFIX_HASH, region -> !List.of(excludedRegions)
                        .contains(region))
                .map(TargetEntry::id);
    }

    @BeforeEach
    void register() {
        engines.register(engine("a", "own-1", false));
        engines.register(engine("b", "small-1", false));
        engines.register(engine("c", "large-1", false));
        engines.register(engine("d", "large-1", false));
    }

    @Test
    void shouldChooseInTheLargestRegionWhenSeveralMayServe() {
        assertTrue(affinityTarget().exists(id -> id.equals("c") || id.equals("d")));
        assertEquals(Option.some("b"), affinityTarget("large"));
        assertEquals(Option.none(), affinityTarget("large", "small"));
    }

    @Test
    void shouldChooseTheSameTargetWhenOthersAreRegisteredInAnotherOrder() {
        RemoteEngines reversed = new RemoteEngines(Map.of("large-1", "large"), "own");
        reversed.register(engine("d", "large-1", false));
        reversed.register(engine("c", "large-1", false));

        assertEquals(
                affinityTarget(),
                reversed.affinityTarget(SERVICE, PREFIX_HASH, region -> true).map(TargetEntry::id));
    }

    /** Guards against copies that are asked of engines that have left. */
    @Test
    void shouldNotChooseATargetWhenItLeavesOrIsRemoved() {
        engines.register(engine("c", "large-1", true));
        engines.register(engine("d", "large-1", true));
        assertEquals(Option.some("b"), affinityTarget());

        engines.remove("b");
        assertEquals(Option.none(), affinityTarget());
    }
}
