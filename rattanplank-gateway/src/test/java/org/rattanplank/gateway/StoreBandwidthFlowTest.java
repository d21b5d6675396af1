package org.rattanplank.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.host.Rendezvous;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What a host with a small link reads from the store and tells other hosts of it. */
@Timeout(60)
class StoreBandwidthFlowTest {
    private static final int PEERS = 27;
    private static final int FOLLOWERS = 3;

    /** A configuration of two thousand routes, packed. */
    private static final int LARGE_BYTES = 60_000;

    /** Half of the link of the smallest hosts, 10 Mbit/s. */
    private static final int LINK_HALF_BYTES_PER_MILLI = 625;

    /** The most that an item may have. */
    private static final int MAX_ITEM_BYTES = 1 << 20;

    private static final int VERSIONS = 12;
    private static final int ROUNDS = 30;
    private static final int ROUNDS_PER_VERSION = 5;
    private static final long ROUND_MILLIS = 100;

    private static final double NANOS_PER_MILLI = 1e6;

    private TestGateway gateway;

    @BeforeEach
    void startGateway() throws IOException {
        gateway = new TestGateway();
        gateway.configure(RouteKind.SAFE, false, 1);
    }

    @AfterEach
    void closeGateway() {
        gateway.close();
    }

    /** Guards against requests that are late at a host that passes a large configuration on to its region. */
    @Test
    void shouldLeaveHalfOfItsLinkToCallersWhenALargeItemChanges() throws Exception {
        List<TestPeer> neighbours = gateway.sameRegionPeers(PEERS);

        long beganNanos = System.nanoTime();
        for (int i = 0; i < ROUNDS; i++) {
            if (i % ROUNDS_PER_VERSION == 0) {
                gateway.putIncompressible("large", LARGE_BYTES);
            }
            for (TestPeer neighbour : neighbours) {
                neighbour.sayItKnows(i, 1);
            }
            Thread.sleep(ROUND_MILLIS);
        }
        long bytes = gateway.metric("peer_bytes_sent{kind=\"store\"}");
        double tookMillis = (System.nanoTime() - beganNanos) / NANOS_PER_MILLI;

        assertTrue(bytes > LARGE_BYTES, "nobody was told");
        assertTrue(
                bytes <= 2 * LARGE_BYTES + LINK_HALF_BYTES_PER_MILLI * tookMillis,
                bytes + " bytes in " + tookMillis + " ms");
        for (TestPeer neighbour : neighbours) {
            neighbour.close();
        }
    }

    /** Guards against a takeover that reads the whole store over the link of a host that knows nearly all of it. */
    @Test
    void shouldRequestOnlyChangesWhenItStartsFollowingTheStore() throws Exception {
        List<TestPeer> followers = followers();
        awaitFollowing(followers.get(0), false);
        long lists = gateway.storeLists();

        for (TestPeer follower : followers) {
            follower.close();
        }
        gateway.putBytes("after", 1);
        gateway.awaitUnreadable(1);

        assertEquals(lists, gateway.storeLists());
    }

    /** Guards against hosts that read all of the store again and again while the store turns them away. */
    @Test
    void shouldNotListTheStoreWhenItRejectsThisHostAndOthersFollowIt() throws Exception {
        List<TestPeer> followers = followers();
        awaitFollowing(followers.get(0), false);
        long lists = gateway.storeLists();

        gateway.loseStore();
        gateway.awaitLogged("\"event\":\"lease_failed\"");
        for (int i = 0; i < ROUNDS; i++) {
            for (TestPeer follower : followers) {
                follower.sayItFollows(1);
            }
            Thread.sleep(ROUND_MILLIS);
        }

        assertEquals(lists, gateway.storeLists());
        for (TestPeer follower : followers) {
            follower.close();
        }
    }

    /** Guards against each host that the store turns away passing on to its region what it was told itself. */
    @Test
    void shouldNotRelayPeerUpdatesWhenTheStoreRejectsThisHost() throws Exception {
        List<TestPeer> followers = followers();
        try (TestPeer neighbour = gateway.sameRegionPeer("n1")) {
            neighbour.readOn();
            awaitFollowing(followers.get(0), false);
            gateway.loseStore();
            keepReporting(followers, neighbour);
            gateway.awaitLogged("\"event\":\"lease_failed\"");
            long before = gateway.metric("peer_bytes_sent{kind=\"store\"}");

            followers.get(1).sendSlowly(LARGE_BYTES, 1, 0);
            keepReporting(followers, neighbour);

            assertEquals(before, gateway.metric("peer_bytes_sent{kind=\"store\"}"));
        }
        for (TestPeer follower : followers) {
            follower.close();
        }
    }

    /** Guards against a follower's link that is full of versions of an item that are replaced before they are read. */
    @Test
    void shouldReadOnlyTheNewestVersionWhenALargeItemIsWrittenRepeatedly() throws Exception {
        long lists = gateway.storeLists();
        for (int i = 0; i < VERSIONS; i++) {
            gateway.putIncompressible("large", MAX_ITEM_BYTES);
            Thread.sleep(ROUND_MILLIS);
        }
        while (gateway.storeLists() == lists) {
            Thread.sleep(ROUND_MILLIS);
        }

        assertTrue(gateway.metric("unreadable_items_total") < VERSIONS / 2, "versions read");
    }

    @Test
    void shouldApplyAnItemWhenItsPartsAreInterleavedWithOtherFrames() throws Exception {
        long revision = 1_000_000;
        try (TestPeer teller = gateway.sameRegionPeer("n1")) {
            teller.sendInParts(revision, LARGE_BYTES, LARGE_BYTES / 7);
            while (teller.await(PeerFrame.State.class).newestRevision() < revision) {
                teller.sayItKnows(0, 1);
            }
        }
    }

    /** Lets the others say for three seconds that the store answers them, and that one of them doesn't ask it. */
    private static void keepReporting(List<TestPeer> followers, TestPeer neighbour) throws Exception {
        for (int i = 0; i < ROUNDS; i++) {
            for (TestPeer follower : followers) {
                follower.sayItFollows(1);
            }
            neighbour.sayItKnows(0, Long.MAX_VALUE);
            Thread.sleep(ROUND_MILLIS);
        }
    }

    /** As many hosts as follow the store for a region, each of which goes before the gateway's own. */
    private List<TestPeer> followers() throws IOException {
        List<String> names = IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "f" + i)
                .filter(name ->
                        Rendezvous.rank(List.of(name, "h1"), "store").get(0).equals(name))
                .limit(FOLLOWERS)
                .toList();
        List<TestPeer> followers = new ArrayList<>();
        for (String name : names) {
            TestPeer follower = gateway.sameRegionPeer(name);
            follower.sayItFollows(1);
            followers.add(follower);
        }
        return followers;
    }

    private static void awaitFollowing(TestPeer other, boolean following) throws IOException {
        while (other.await(PeerFrame.State.class).followsStore() != following) {
            other.sayItFollows(1);
        }
    }
}
