package org.rattanplank.gateway.peer;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.rattanplank.gateway.store.StoreCopy;
import org.rattanplank.gateway.store.StoreItem;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StoreReplicatorTest {
    private static final long SMALL_LINK_BYTES_PER_MILLI = 1_250;
    private static final int CONFIGURATION_BYTES = 60_000;
    private static final long STEP_MILLIS = 50;

    /** The number of rounds in which items are written at a high rate. */
    private static final int ROUNDS = 30;

    /** The time after its acknowledgement within which a change must have reached all hosts. */
    private static final long CONVERGENCE_MILLIS = 4_000;

    /** The time until a terminated host is detected and the store watchers are chosen again. */
    private static final long TAKEOVER_MILLIS = 2_500;

    /** The fraction of the link that replication may use in any time span; half of it is left to callers. */
    private static final double REPLICATION_SHARE = StoreReplicator.RELAY_SHARE + StoreReplicator.CATCH_UP_SHARE;

    /**
     * Guards against a link that is saturated by replication, for any number of hosts, link bandwidth, item size and rate of
     * changes, and whichever hosts terminate or are rejected by the store.
     */
    @Property(tries = 40)
    void shouldLeaveHalfOfEachLinkToCallersWhenAnythingChanges(
            @ForAll @IntRange(min = 2, max = 60) int hosts,
            @ForAll @LongRange(min = 125, max = 25_000) long linkBytesPerMilli,
            @ForAll @IntRange(min = 1, max = 300_000) int itemBytes,
            @ForAll long seed) {
        Random random = new Random(seed);
        TestRegion region = new TestRegion(seed);
        for (int i = 0; i < hosts; i++) {
            region.addHost(linkBytesPerMilli * (1 + random.nextInt(3)));
        }
        for (int i = 0; i < ROUNDS; i++) {
            region.put("large", 1 + random.nextInt(itemBytes));
            region.put("small-" + random.nextInt(ROUNDS), 200);
            TestRegion.Host host = region.hosts().get(random.nextInt(hosts));
            if (random.nextInt(4) == 0) {
                host.setRejectedByStore(random.nextBoolean());
            }
            if (host.isWatcher() && random.nextInt(8) == 0) {
                host.terminate();
            }
            region.run(STEP_MILLIS * (1 + random.nextInt(10)));
        }

        region.hosts().forEach(StoreReplicatorTest::assertShareNotExceeded);
    }

    /** Guards against a replicator that stays within its bounds but does not reach all hosts in time. */
    @Property(tries = 10)
    void shouldReachAllHostsInTimeWhenAConfigurationOfTwoThousandRoutesIsWritten(
            @ForAll @IntRange(min = 2, max = 120) int hosts, @ForAll long seed) {
        TestRegion region = region(hosts, seed);

        region.put("configuration", CONFIGURATION_BYTES);
        region.run(CONVERGENCE_MILLIS);

        assertTrue(region.isConverged());
    }

    /** Guards against hosts whose relay has terminated and that no other host sends the changes to. */
    @Property(tries = 10)
    void shouldReachAllHostsWhenAStoreWatcherTerminatesWhileItRelaysChanges(
            @ForAll @IntRange(min = 4, max = 90) int hosts, @ForAll long seed) {
        TestRegion region = region(hosts, seed);

        region.put("configuration", CONFIGURATION_BYTES);
        region.remove("small-1");
        region.run(4 * STEP_MILLIS);
        region.hosts().stream()
                .filter(TestRegion.Host::isWatcher)
                .findFirst()
                .get()
                .terminate();
        region.run(CONVERGENCE_MILLIS + TAKEOVER_MILLIS);

        assertTrue(region.isConverged());
    }

    /** Guards against an evacuation that is queued behind a configuration. */
    @Test
    void shouldSendASmallChangeAtOnceWhenLargeOnesAreInTransfer() {
        TestRegion region = region(40, 1);
        region.put("configuration", 5 * CONFIGURATION_BYTES);
        region.run(4 * STEP_MILLIS);

        region.put("evacuation", 10);
        region.run(8 * STEP_MILLIS);

        List<TestRegion.Host> hosts = region.hosts();
        assertTrue(hosts.stream().allMatch(host -> host.hasItem("evacuation")));
        assertTrue(hosts.stream().anyMatch(host -> !host.hasItem("configuration")));
    }

    /** Guards against a target that is kept because a frame from just after an outage is sent again much later. */
    @Test
    void shouldTellNoGraceThatIsOverWhenTheSameItemsAreSentAgain() {
        StoreCopy copy = new StoreCopy();
        copy.apply(new StoreItem("target-1", new byte[100], 7, false));
        copy.completeUpTo(7);
        StoreReplicator replicator =
                new StoreReplicator(copy, SMALL_LINK_BYTES_PER_MILLI, now -> Math.max(0, 2_300 - now), line -> {});
        RecordingReceiver early = new RecordingReceiver("early", followerState());
        RecordingReceiver late = new RecordingReceiver("late", followerState());

        replicator.tick(List.of(early), new RelayToAll(), 100);
        replicator.tick(List.of(late), new RelayToAll(), 60_000);

        assertEquals(2_200, ((PeerFrame.StoreItems) early.received().get(0)).removalGraceMillis());
        assertEquals(0, ((PeerFrame.StoreItems) late.received().get(0)).removalGraceMillis());
    }

    /** Returns the state of a host that lacks the last two revisions of the store. */
    private static PeerFrame.State followerState() {
        return new PeerFrame.State(
                1,
                0,
                0,
                500,
                true,
                1,
                0,
                false,
                true,
                List.of(),
                List.of(),
                5,
                PeerFrame.State.UNLIMITED_MILLIS,
                5,
                SMALL_LINK_BYTES_PER_MILLI,
                false,
                false,
                false,
                true,
                true,
                List.of(),
                List.of());
    }

    /** Relays each change to each host. */
    private static final class RelayToAll implements ReplicationPolicy {
        @Override
        public boolean relaysTo(StoreReceiver receiver) {
            return true;
        }

        @Override
        public long catchUpAfterMillis(StoreReceiver receiver) {
            return NEVER;
        }
    }

    private static TestRegion region(int hosts, long seed) {
        TestRegion region = new TestRegion(seed);
        for (int i = 0; i < hosts; i++) {
            region.addHost(SMALL_LINK_BYTES_PER_MILLI);
        }
        for (int i = 0; i < ROUNDS; i++) {
            region.put("small-" + i, 200);
        }
        region.run(CONVERGENCE_MILLIS);
        return region;
    }

    private static void assertShareNotExceeded(TestRegion.Host host) {
        double bytesPerMilli = REPLICATION_SHARE * host.linkBytesPerMilli();
        // Each of the two shares may be ahead by a fragment and the bytes of a step.
        double allowedAheadBytes = 2 * (StoreTransfer.FRAGMENT_BYTES + 100) + bytesPerMilli * STEP_MILLIS;
        double excessBytes = 0;
        long lastMillis = 0;
        for (long[] sent : host.sent()) {
            excessBytes = Math.max(0, excessBytes - bytesPerMilli * (sent[0] - lastMillis)) + sent[1];
            lastMillis = sent[0];
            assertTrue(
                    excessBytes <= allowedAheadBytes,
                    excessBytes + " bytes beyond the share, " + allowedAheadBytes + " allowed");
        }
    }
}
