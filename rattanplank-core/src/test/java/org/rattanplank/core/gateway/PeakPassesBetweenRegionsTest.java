package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests the load of a peak that passes from region to region, each of which has its own hosts and engines: of the same shared
 * prompt parts one region after the other asks for the first time.
 */
class PeakPassesBetweenRegionsTest {
    private static final Map<String, String> REGIONS =
            Map.of("north-1", "north", "middle-1", "middle", "south-1", "south");
    private static final Map<String, Integer> ENGINES = Map.of("north-1", 12, "middle-1", 8, "south-1", 4);
    private static final List<String> PEAKS = List.of("north-1", "middle-1", "south-1");
    private static final int HOSTS = 5;
    private static final int FAMILIES = 100;
    private static final int REQUESTS = 400;
    private static final int FAMILY_TOKENS = 5_000;
    private static final int OWN_TOKENS = 6_000;
    private static final RouteRule ROUTE = Samples.route("r", "desk.example", "/", Set.of());

    /** The parts that each engine has cached, whatever the hosts believe. */
    private final Map<String, Set<String>> cachedByEngine = new HashMap<>();

    private final Random random = new Random(7);

    /** Guards against the prefill of shared parts in each region anew, a tenth of all prefill at the beginning of a peak. */
    @Test
    void shouldPrefillSharedPartsOnceWhenThePeakPassesToAnotherRegion() {
        int prefilled = prefilledSharedParts(Mechanisms.ALL);

        assertTrue(prefilled <= 1.1 * FAMILIES, () -> "prefilled " + prefilled);
    }

    @Test
    void shouldPrefillThemInEachRegionWhenTransfersBetweenRegionsAreSwitchedOff() {
        int prefilled = prefilledSharedParts(new Mechanisms(Set.of(Mechanism.COPY_FROM_REGIONS)));

        assertEquals(PEAKS.size() * FAMILIES, prefilled, FAMILIES / 10.0);
    }

    private int prefilledSharedParts(Mechanisms mechanisms) {
        int prefilled = 0;
        for (String dataCentre : PEAKS) {
            for (int i = 0; i < REQUESTS; i++) {
                // A new host each time: most requests for a family come to a host that has not sent it yet.
                prefilled += serve(dataCentre, "host-" + random.nextInt(HOSTS), mechanisms);
            }
        }
        return prefilled;
    }

    private int serve(String dataCentre, String host, Mechanisms mechanisms) {
        TargetPool pool = TargetPool.of(REGIONS, REGIONS.get(dataCentre));
        ENGINES.forEach((each, count) -> {
            for (int i = 0; i < count; i++) {
                pool.register(Samples.target(each + "-" + i, each, false, 0), 0);
            }
        });
        String family = "family-" + random.nextInt(FAMILIES);
        List<PromptPart> parts =
                List.of(new PromptPart(family, FAMILY_TOKENS), new PromptPart("own-" + random.nextLong(), OWN_TOKENS));
        Work work = new Work(FAMILY_TOKENS + OWN_TOKENS, 400, parts, Urgency.LAST, 10_000);
        TargetChoice choice = TargetChooser.of(host, pool, random, mechanisms)
                .choose(
                        new PlacementRequest(ROUTE, Samples.MODEL_SERVICE, work, Set.of()),
                        RegionView.complete(Set.of(host)),
                        1)
                .get();
        boolean copied =
                choice.transferSource().exists(source -> cached(source.id()).contains(family));
        boolean cached = cached(choice.target().id()).contains(family);
        cached(choice.target().id()).add(family);
        return copied || cached ? 0 : 1;
    }

    private Set<String> cached(String engine) {
        return cachedByEngine.computeIfAbsent(engine, id -> new HashSet<>());
    }
}
