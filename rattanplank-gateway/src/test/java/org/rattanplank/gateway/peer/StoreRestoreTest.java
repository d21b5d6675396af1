package org.rattanplank.gateway.peer;

import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanplank.gateway.store.StoreRevision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that the hosts of a region believe in the store after it has come back from an older copy. */
class StoreRestoreTest {
    private static final long LINK_BYTES_PER_MILLI = 1_250;
    private static final int KEYS = 40;
    private static final long MAX_CONVERGENCE_MILLIS = 4_000;

    /**
     * Guards against a host that keeps what the store has forgotten, or lacks what was written since, as it is told by others or
     * was cut off, starts, or has hosts of an earlier version beside it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldConvergeWhenTheStoreComesBackFromAnOlderCopyAgainAndAgain(long seed) {
        Random random = new Random(seed);
        TestRegion region = new TestRegion(seed);
        for (int i = 0; i < 30; i++) {
            region.addHost(LINK_BYTES_PER_MILLI);
        }
        TestRegion.Host earlierVersion = region.hosts().get(random.nextInt(30));
        earlierVersion.setEarlierVersion();
        change(region, random, 60);
        region.run(MAX_CONVERGENCE_MILLIS);
        for (int restore = 0; restore < 3; restore++) {
            change(region, random, 1 + random.nextInt(10));
            region.run(random.nextInt(3_000));
            TestRegion.Host cutOff = region.hosts().get(random.nextInt(30));
            cutOff.setRejectedByStore(true);
            region.hosts().get(random.nextInt(30)).restart(random.nextInt(500));

            region.restoreStore(1 + random.nextInt(20));
            change(region, random, random.nextInt(30));
            region.run(random.nextInt(1_000));
            cutOff.setRejectedByStore(false);
            region.run(MAX_CONVERGENCE_MILLIS);

            assertTrue(region.isConverged(), "restore " + restore);
            assertEquals(0, StoreRevision.era(earlierVersion.copyRevision()));
        }
    }

    private static void change(TestRegion region, Random random, int changes) {
        for (int i = 0; i < changes; i++) {
            String key = "key" + random.nextInt(KEYS);
            if (random.nextInt(4) == 0) {
                region.remove(key);
            } else {
                region.put(key, 1 + random.nextInt(500));
            }
        }
    }
}
