package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.gateway.StoreWatchers.Candidate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StoreWatchersTest {
    private static final long SMALL_BYTES_PER_MILLI = 1_250;
    private static final long LARGE_BYTES_PER_MILLI = 25_000;

    private static List<Candidate> hosts(int count, int large, int answered) {
        List<Candidate> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(new Candidate(
                    "host-" + i, i < answered, i % count < large ? LARGE_BYTES_PER_MILLI : SMALL_BYTES_PER_MILLI));
        }
        return hosts;
    }

    /** Guards against hosts with small links that read and relay large items while larger links are idle. */
    @Test
    void shouldChooseTheLargeLinksWhenThereAreEnough() {
        StoreWatchers watchers = StoreWatchers.of(hosts(30, 4, 30));

        assertEquals(3, watcherCount(watchers, 30));
        for (int i = 4; i < 30; i++) {
            assertFalse(watchers.isWatcher("host-" + i));
        }
    }

    /** Guards against a region that receives nothing, as its watchers are hosts that the store rejects. */
    @Test
    void shouldChooseTheSmallLinksWhenTheStoreRejectsTheLargeOnes() {
        List<Candidate> hosts = new ArrayList<>(hosts(6, 0, 6));
        hosts.add(new Candidate("large", false, LARGE_BYTES_PER_MILLI));

        assertFalse(StoreWatchers.of(hosts).isWatcher("large"));
    }

    @Test
    void shouldChooseAllHostsWhenThereAreFew() {
        assertEquals(3, watcherCount(StoreWatchers.of(hosts(3, 0, 0)), 3));
    }

    /** Guards against a relay's load growing with its region, and against hosts without a relay. */
    @Property(tries = 200)
    void shouldGiveEachOtherHostOneRelayWhenLinksAreEqual(@ForAll @IntRange(min = 1, max = 400) int count) {
        StoreWatchers watchers = StoreWatchers.of(hosts(count, 0, count));

        Map<String, Integer> relayed = new HashMap<>();
        for (int i = 0; i < count; i++) {
            if (!watchers.isWatcher("host-" + i)) {
                String relay = watchers.relayFor("host-" + i).get();
                assertTrue(watchers.isWatcher(relay));
                relayed.merge(relay, 1, Integer::sum);
            }
        }
        for (int each : relayed.values()) {
            assertTrue(each <= StoreWatchers.HOSTS_PER_WATCHER, "hosts of one relay: " + each);
        }
    }

    /** Guards against hosts that choose differently because they learned of each other in a different order. */
    @Property(tries = 100)
    void shouldChooseTheSameWhenHostsAreKnownInAnotherOrder(
            @ForAll @IntRange(min = 1, max = 60) int count, @ForAll long seed) {
        List<Candidate> hosts = hosts(count, count / 7, count - count / 5);
        List<Candidate> shuffled = new ArrayList<>(hosts);
        Collections.shuffle(shuffled, new Random(seed));
        StoreWatchers first = StoreWatchers.of(hosts);
        StoreWatchers other = StoreWatchers.of(shuffled);

        for (Candidate host : hosts) {
            assertEquals(first.isWatcher(host.name()), other.isWatcher(host.name()));
            assertEquals(first.relayFor(host.name()), other.relayFor(host.name()));
            assertEquals(first.position(host.name()), other.position(host.name()));
        }
    }

    private static int watcherCount(StoreWatchers watchers, int hosts) {
        int count = 0;
        for (int i = 0; i < hosts; i++) {
            count += watchers.isWatcher("host-" + i) ? 1 : 0;
        }
        return count;
    }
}
