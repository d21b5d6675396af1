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
import org.rattanplank.core.host.RendezvousHashing;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what a host with a small link reads from the store and sends to other hosts. */
@Timeout(60)
class StoreBandwidthFlowTest {
    private static final int PEERS = 27;
    private static final int WATCHERS = 3;

    /** A compressed configuration of two thousand routes. */
    private static final int LARGE_BYTES = 60_000;

    /** Half of the link of the smallest hosts, 10 Mbit/s. */
    private static final int LINK_HALF_BYTES_PER_MILLI = 625;

    /** The maximum size of an item. */
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

    /** Guards against late requests at a host that relays a large configuration to its region. */
    @Test
    void shouldLeaveHalfOfItsLinkToCallersWhenALargeItemChanges() throws Exception {
        List<TestPeer> peers = gateway.sameRegionPeers(PEERS);

        long startedNanos = System.nanoTime();
        for (int i = 0; i < ROUNDS; i++) {
            if (i % ROUNDS_PER_VERSION == 0) {
                gateway.putIncompressible("large", LARGE_BYTES);
            }
            for (TestPeer peer : peers) {
                peer.reportState(i, 1);
            }
            Thread.sleep(ROUND_MILLIS);
        }
        long bytes = gateway.metric("peer_bytes_sent{kind=\"store\"}");
        double tookMillis = (System.nanoTime() - startedNanos) / NANOS_PER_MILLI;

        assertTrue(bytes > LARGE_BYTES, "no store item was sent");
        assertTrue(
                bytes <= 2 * LARGE_BYTES + LINK_HALF_BYTES_PER_MILLI * tookMillis,
                bytes + " bytes in " + tookMillis + " ms");
        for (TestPeer peer : peers) {
            peer.close();
        }
    }

    /**
     * Guards against a watcher change that reads the whole store over the link of a host that has nearly all of it.
     */
    @Test
    void shouldRequestOnlyChangesWhenItStartsWatchingTheStore() throws Exception {
        List<TestPeer> watchers = watchers();
        awaitWatching(watchers.get(0), false);
        long lists = gateway.storeLists();

        for (TestPeer watcher : watchers) {
            watcher.close();
        }
        gateway.putBytes("after", 1);
        gateway.awaitUnreadable(1);

        assertEquals(lists, gateway.storeLists());
    }

    /** Guards against hosts that list the store repeatedly while the store rejects them. */
    @Test
    void shouldNotListTheStoreWhenItRejectsThisHostAndOthersWatchIt() throws Exception {
        List<TestPeer> watchers = watchers();
        awaitWatching(watchers.get(0), false);
        long lists = gateway.storeLists();

        gateway.makeStoreUnavailable();
        gateway.awaitLogged("\"event\":\"lease_failed\"");
        for (int i = 0; i < ROUNDS; i++) {
            for (TestPeer watcher : watchers) {
                watcher.reportWatching(1);
            }
            Thread.sleep(ROUND_MILLIS);
        }

        assertEquals(lists, gateway.storeLists());
        for (TestPeer watcher : watchers) {
            watcher.close();
        }
    }

    /**
     * Guards against hosts that relay to their region, while the store rejects them, what they received from another
     * host.
     */
    @Test
    void shouldNotRelayPeerUpdatesWhenTheStoreRejectsThisHost() throws Exception {
        List<TestPeer> watchers = watchers();
        try (TestPeer peer = gateway.sameRegionPeer("n1")) {
            peer.drainInBackground();
            awaitWatching(watchers.get(0), false);
            gateway.makeStoreUnavailable();
            keepReporting(watchers, peer);
            gateway.awaitLogged("\"event\":\"lease_failed\"");
            long bytesBefore = gateway.metric("peer_bytes_sent{kind=\"store\"}");

            watchers.get(1).sendSlowly(LARGE_BYTES, 1, 0);
            keepReporting(watchers, peer);

            assertEquals(bytesBefore, gateway.metric("peer_bytes_sent{kind=\"store\"}"));
        }
        for (TestPeer watcher : watchers) {
            watcher.close();
        }
    }

    /** Guards against a watcher whose link is full of versions of an item that are replaced before they are read. */
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
        try (TestPeer sender = gateway.sameRegionPeer("n1")) {
            sender.sendInFragments(revision, LARGE_BYTES, LARGE_BYTES / 7);
            while (sender.await(PeerFrame.State.class).newestRevision() < revision) {
                sender.reportState(0, 1);
            }
        }
    }

    /** Reports for three seconds that the store answers the watchers, and that the peer doesn't watch it. */
    private static void keepReporting(List<TestPeer> watchers, TestPeer peer) throws Exception {
        for (int i = 0; i < ROUNDS; i++) {
            for (TestPeer watcher : watchers) {
                watcher.reportWatching(1);
            }
            peer.reportState(0, Long.MAX_VALUE);
            Thread.sleep(ROUND_MILLIS);
        }
    }

    /** Returns as many watchers as a region has, each ranked before the gateway's own host. */
    private List<TestPeer> watchers() throws IOException {
        List<String> names = IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "f" + i)
                .filter(name -> RendezvousHashing.rank(List.of(name, "h1"), "store")
                        .get(0)
                        .equals(name))
                .limit(WATCHERS)
                .toList();
        List<TestPeer> watchers = new ArrayList<>();
        for (String name : names) {
            TestPeer watcher = gateway.sameRegionPeer(name);
            watcher.reportWatching(1);
            watchers.add(watcher);
        }
        return watchers;
    }

    private static void awaitWatching(TestPeer peer, boolean watching) throws IOException {
        while (peer.await(PeerFrame.State.class).watchesStore() != watching) {
            peer.reportWatching(1);
        }
    }
}
