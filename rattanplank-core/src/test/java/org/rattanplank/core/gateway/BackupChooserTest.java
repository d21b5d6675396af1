package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BackupChooserTest {
    private static final String HALL = "suva-hall";
    private static final String ANNEX = "suva-annex";
    private static final Work STREAM = new Work(800, 300, List.of(), Urgency.MIDDLE, 10_000);
    private static final int DRAWS = 100;

    private final TargetPool pool = TargetPool.of(Set.of(HALL, ANNEX));
    private final BackupChooser chooser = new BackupChooser(pool, new Random(1));

    private GatewayTarget engine(String id, String dataCentre) {
        pool.register(Samples.target(id, dataCentre, false, 0), 0);
        return pool.find(id).get();
    }

    private Set<String> drawn(GatewayTarget primary) {
        return IntStream.range(0, DRAWS)
                .mapToObj(draw -> chooser.choose(primary, Samples.MODEL_SERVICE, STREAM, 1))
                .flatMap(Option::toJavaStream)
                .map(GatewayTarget::id)
                .collect(Collectors.toSet());
    }

    /** Guards against a stream and its backup that are lost together when a data centre loses power. */
    @Test
    void shouldChooseAnotherDataCentreWhenOneHasRoom() {
        GatewayTarget primary = engine("a", HALL);
        engine("b", HALL);
        engine("c", ANNEX);

        assertEquals(Set.of("c"), drawn(primary));
    }

    @Test
    void shouldChooseTheSameDataCentreWhenNoOtherHasRoom() {
        GatewayTarget primary = engine("a", HALL);
        engine("b", HALL);
        engine("c", ANNEX);
        pool.evacuate(ANNEX, true, 1);

        assertEquals(Set.of("b"), drawn(primary));
    }

    /** Guards against all streams of a failed engine that continue at one other engine. */
    @Test
    void shouldSpreadBackupsWhenSeveralEnginesHaveRoom() {
        GatewayTarget primary = engine("a", HALL);
        List.of("b", "c", "d", "e").forEach(id -> engine(id, ANNEX));

        assertTrue(drawn(primary).size() >= 3);
    }

    @Test
    void shouldChooseNoneWhenNoOtherEngineMayBeUsed() {
        GatewayTarget primary = engine("a", HALL);
        engine("b", HALL).markLeaving();
        pool.register(Samples.target("cold", ANNEX, false, 5_000), 0);

        assertEquals(Set.of(), drawn(primary));
    }

    /** Guards against running requests that are preempted because backups fill the memory of their engine. */
    @Test
    void shouldChooseNoneWhenTheOtherEngineLacksMemory() {
        GatewayTarget primary = engine("a", HALL);
        GatewayTarget full = engine("b", ANNEX);
        full.updateWorkOfHost("h2", InFlightWork.ofBackup(Samples.MODEL_SERVICE.kvCacheTokens()));

        assertEquals(Set.of(), drawn(primary));
    }

    /** Guards against a caller's counts that overflow, so that an engine seems to have room for any stream. */
    @Test
    void shouldChooseNoneWhenTheCallerStatesImpossibleCounts() {
        GatewayTarget primary = engine("a", HALL);
        engine("b", ANNEX);
        Work impossible = new Work(Integer.MAX_VALUE, Integer.MAX_VALUE, List.of(), Urgency.MIDDLE, 10_000);

        assertEquals(Option.none(), chooser.choose(primary, Samples.MODEL_SERVICE, impossible, 1));
    }
}
