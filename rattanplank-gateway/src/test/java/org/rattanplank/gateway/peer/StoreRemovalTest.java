package org.rattanplank.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.rattanplank.gateway.store.StoreContents;
import org.rattanplank.gateway.store.StoreCopy;
import org.rattanplank.gateway.store.StoreItem;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that no host goes on believing in an item that was removed from the store, however it learns of the store. */
class StoreRemovalTest {
    private static final long LINK_BYTES_PER_MILLI = 1_250;
    private static final int ENTRY_BYTES = 200;
    private static final int CONFIGURATION_BYTES = 60_000;
    private static final long STEP_MILLIS = 50;
    private static final long SETTLED_MILLIS = 4_000;

    /** The time after which no request may reach a target that has left, of the installations of this size. */
    private static final long MAX_BELIEF_MILLIS = 5_000;

    /** A host is bound by that time once it has been undisturbed for this long. */
    private static final long UNDISTURBED_MILLIS = 6_000;

    /**
     * Guards against removals that a relay never knew: it has listed the store since, and relays "all changes" to a host that
     * goes on using a target which has left.
     */
    @Test
    void shouldForgetARemovedItemWhenTheRelayHasListedTheStoreSince() {
        assertRemovedItemForgottenWhenWatchersRestart(region(12, 1));
    }

    /** Guards against the same at hosts of an earlier version, which need all items to find what was removed. */
    @Test
    void shouldForgetARemovedItemWhenTheHostIsOfAnEarlierVersion() {
        TestRegion region = region(12, 1);
        region.hosts().forEach(TestRegion.Host::setEarlierVersion);
        region.run(SETTLED_MILLIS);
        assertRemovedItemForgottenWhenWatchersRestart(region);
    }

    private static void assertRemovedItemForgottenWhenWatchersRestart(TestRegion region) {
        region.compactStore();
        List<TestRegion.Host> watchers =
                region.hosts().stream().filter(TestRegion.Host::isWatcher).toList();
        watchers.forEach(TestRegion.Host::terminate);
        region.remove("target-1");
        watchers.forEach(watcher -> watcher.restart(0));

        region.run(MAX_BELIEF_MILLIS);

        assertTrue(region.hosts().stream().noneMatch(host -> host.hasItem("target-1")));
    }

    /** Guards against a removed item that comes back from a host whose listing is older than this host's. */
    @Test
    void shouldTakeNoOlderItemThatItDoesNotHaveWhenACopyIsComplete() {
        for (long upTo : new long[] {0, 900, 1_000}) {
            StoreCopy copy = new StoreCopy();
            copy.completeUpTo(1_000);

            List<StoreItem> newer = copy.merge(StoreContents.all(upTo, List.of(entry("target-1", 500))));

            assertEquals(List.of(), newer, "up to " + upTo);
            assertTrue(copy.items().isEmpty(), "up to " + upTo);
        }
    }

    /** Guards against a copy that lists the store and then loses what it lists. */
    @Test
    void shouldTakeNewerItemsWhenACopyIsComplete() {
        StoreCopy copy = new StoreCopy();
        copy.completeUpTo(1_000);

        assertEquals(
                1,
                copy.merge(StoreContents.some(List.of(entry("target-1", 1_001))))
                        .size());
        assertEquals(
                1,
                copy.merge(StoreContents.changes(1_000, 1_002, List.of(entry("target-2", 1_002))))
                        .size());
        assertEquals(1_002, copy.revision());
    }

    /**
     * Guards against removed items that stay at, or come back to, any host, and against present items that are lost, for any
     * order of changes, restarts, listings and rejections. A host is judged after it has been undisturbed for a while.
     */
    @Property(tries = 60, seed = "1201879746519736599")
    void shouldForgetRemovedItemsInTimeWhenHostsRestartAndListTheStore(
            @ForAll @IntRange(min = 4, max = 40) int hosts,
            @ForAll @LongRange(min = 1_250, max = 25_000) long linkBytesPerMilli,
            @ForAll long seed) {
        assertRemovedItemsForgottenInTime(hosts, linkBytesPerMilli, seed);
    }

    /** Guards against the same with the seeds that have shown it. */
    @Test
    void shouldForgetRemovedItemsInTimeWhenHostsRestartAsInTheSeedsThatFailed() {
        assertRemovedItemsForgottenInTime(5, 1_250, 0);
        assertRemovedItemsForgottenInTime(35, 1_408, 174);
        assertRemovedItemsForgottenInTime(30, 1_312, 1_503_264);
    }

    private static void assertRemovedItemsForgottenInTime(int hosts, long linkBytesPerMilli, long seed) {
        Random random = new Random(seed);
        TestRegion region = region(hosts, seed, linkBytesPerMilli);
        Map<TestRegion.Host, Long> disturbedAtMillis = new HashMap<>();
        Map<String, Long> removedAtMillis = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            change(region, random, removedAtMillis);
            if (random.nextInt(10) == 0) {
                region.hosts().stream()
                        .filter(host -> !host.isAlive())
                        .forEach(host -> host.restart(random.nextInt(1_500)));
                TestRegion.Host host = region.hosts().get(random.nextInt(hosts));
                disturb(host, random);
                disturbedAtMillis.put(host, region.nowMillis());
            }
            if (random.nextInt(40) == 0) {
                region.compactStore();
            }
            region.run(STEP_MILLIS * (1 + random.nextInt(4)));
            assertNoneBelievesTooLong(region, disturbedAtMillis, removedAtMillis);
        }
        region.hosts().forEach(host -> {
            host.setRejectedByStore(false);
            if (!host.isAlive()) {
                host.restart(0);
            }
        });
        region.run(UNDISTURBED_MILLIS + SETTLED_MILLIS);

        assertTrue(region.isConverged());
    }

    private static void change(TestRegion region, Random random, Map<String, Long> removedAtMillis) {
        String target = "target-" + random.nextInt(60);
        if (region.presentKeys().contains(target) && random.nextBoolean()) {
            region.remove(target);
            removedAtMillis.put(target, region.nowMillis());
        } else {
            region.put(target, ENTRY_BYTES);
            removedAtMillis.remove(target);
        }
        if (random.nextInt(60) == 0) {
            region.put("configuration", CONFIGURATION_BYTES);
        }
    }

    private static void disturb(TestRegion.Host host, Random random) {
        switch (random.nextInt(3)) {
            case 0 -> host.terminate();
            case 1 -> host.restart(random.nextInt(1_500));
            default -> host.setRejectedByStore(random.nextBoolean());
        }
    }

    private static void assertNoneBelievesTooLong(
            TestRegion region, Map<TestRegion.Host, Long> disturbedAtMillis, Map<String, Long> removedAtMillis) {
        Set<String> removedLongAgo = new HashSet<>();
        removedAtMillis.forEach((key, atMillis) -> {
            if (region.nowMillis() - atMillis > MAX_BELIEF_MILLIS) {
                removedLongAgo.add(key);
            }
        });
        List<String> violations = new ArrayList<>();
        for (TestRegion.Host host : region.hosts()) {
            boolean undisturbed =
                    region.nowMillis() - disturbedAtMillis.getOrDefault(host, -UNDISTURBED_MILLIS) > UNDISTURBED_MILLIS;
            if (host.isAlive() && !host.isRejectedByStore() && undisturbed) {
                host.keys().stream()
                        .filter(removedLongAgo::contains)
                        .forEach(key -> violations.add(host.name() + " " + key));
            }
        }
        assertEquals(List.of(), violations, () -> "at " + region.nowMillis() + " ms");
    }

    private static TestRegion region(int hosts, long seed) {
        return region(hosts, seed, LINK_BYTES_PER_MILLI);
    }

    private static TestRegion region(int hosts, long seed, long linkBytesPerMilli) {
        TestRegion region = new TestRegion(seed);
        for (int i = 0; i < hosts; i++) {
            region.addHost(linkBytesPerMilli);
        }
        for (int i = 0; i < 60; i++) {
            region.put("target-" + i, ENTRY_BYTES);
        }
        region.run(SETTLED_MILLIS);
        assertTrue(region.isConverged());
        assertFalse(region.hosts().isEmpty());
        return region;
    }

    private static StoreItem entry(String key, long revision) {
        return new StoreItem(key, new byte[ENTRY_BYTES], revision, false);
    }
}
