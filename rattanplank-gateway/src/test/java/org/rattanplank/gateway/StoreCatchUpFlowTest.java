package org.rattanplank.gateway;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.gateway.peer.TestPeer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that a host that watches the store sends other hosts of its region the changes they lack. */
@Timeout(60)
class StoreCatchUpFlowTest {
    /** The number of hosts that don't watch the store in a region of a large installation. */
    private static final int PEERS = 27;

    /** About 240 targets and hosts with their configuration. */
    private static final int STORE_BYTES = 100_000;

    /** A tenth of the link of the smallest hosts, 10 Mbit/s; the rest is for callers. */
    private static final int LINK_TENTH_BYTES_PER_MILLI = 125;

    /** Larger than the socket buffers, so that only some of the items fit into them. */
    private static final int LARGE_BYTES = 2_000_000;

    private static final int ROUNDS = 30;
    private static final long ROUND_MILLIS = 100;
    private static final double NANOS_PER_MILLI = 1e6;

    private TestGateway gateway;

    @BeforeEach
    void startGateway() throws IOException {
        gateway = new TestGateway();
    }

    @AfterEach
    void closeGateway() {
        gateway.close();
    }

    /**
     * Guards against a link full of store changes. Symptom: one host sends requests to targets of an evacuated data
     * centre seven seconds after the evacuation was confirmed, its connections time out, and its requests arrive 2.5 s
     * after they were sent. The store's history is compacted during an evacuation and other changes, and one of three
     * watchers of its region receives them later than the others. It sees that the 27 other hosts differ and sends
     * each of them everything once per second. Its link of 10 Mbit/s is full, so its own store calls are delayed behind
     * and it stays late. Catch-up traffic must be limited by the bandwidth of the link.
     */
    @Test
    void shouldLeaveMostOfItsLinkToCallersWhenManyHostsAreBehind() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        gateway.putBytes("targets", STORE_BYTES);
        List<TestPeer> peers = gateway.sameRegionPeers(PEERS);

        long startedNanos = System.nanoTime();
        for (int i = 0; i < ROUNDS; i++) {
            for (TestPeer peer : peers) {
                peer.reportState(i, 1);
            }
            Thread.sleep(ROUND_MILLIS);
        }
        long bytes = gateway.metric("peer_bytes_sent{kind=\"store\"}");
        double tookMillis = (System.nanoTime() - startedNanos) / NANOS_PER_MILLI;

        assertTrue(bytes > 0, "no store item was sent");
        assertTrue(
                bytes <= 2 * STORE_BYTES + LINK_TENTH_BYTES_PER_MILLI * tookMillis,
                bytes + " bytes in " + tookMillis + " ms");
        for (TestPeer peer : peers) {
            peer.close();
        }
    }

    /**
     * Guards against versions queued for a host that has not received the last. Symptom: while a configuration of 1,300
     * routes is rewritten three times per second, hosts of all regions lose each other repeatedly and all requests are
     * late, the least urgent almost always. Three hosts of each region send each version, 0.4 MB, to twenty others; a
     * link of 10 Mbit/s takes six seconds for the data of 0.3 s, and heartbeats and requests wait behind it.
     */
    @Test
    void shouldQueueNoFurtherVersionsWhenAHostHasNotReceivedTheLast() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        try (TestPeer slow = gateway.sameRegionPeer("slow")) {
            slow.reportState(1, 1);
            gateway.awaitLogged("\"peer\":\"slow\"");

            for (int i = 0; i < ROUNDS; i++) {
                gateway.putIncompressible("large", LARGE_BYTES);
                slow.reportState(1, Long.MAX_VALUE);
                Thread.sleep(ROUND_MILLIS);
            }

            // The socket buffers of both ends hold some megabytes.
            long bytes = gateway.metric("peer_bytes_sent{kind=\"store\"}");
            assertTrue(bytes < ROUNDS / 2 * LARGE_BYTES, "bytes: " + bytes);
        }
    }

    /**
     * Guards against links closed during a transfer, which starts again each time: a large item arrives over a
     * congested link for longer than the time-out of an unresponsive link. Not only whole frames count as heartbeats.
     */
    @Test
    void shouldKeepALinkWhenALargeItemArrivesSlowly() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        try (TestPeer slow = gateway.sameRegionPeer("slow")) {
            slow.drainInBackground();
            slow.reportState(1, 1);
            slow.sendSlowly(STORE_BYTES, ROUNDS, ROUND_MILLIS);

            assertEquals(0, gateway.countLogged("\"event\":\"peer_lost\""));
        }
    }

    /**
     * Guards against a delayed host that sends others what they know already, once per second: it receives store
     * changes later than the other hosts of its region, and their digests differ from its own. A host that differs
     * doesn't necessarily lack anything.
     */
    @Test
    void shouldSendOnlyToTheHostThatIsBehindWhenBothDiffer() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        try (TestPeer ahead = gateway.sameRegionPeer("ahead");
                TestPeer behind = gateway.sameRegionPeer("behind")) {
            ahead.drainInBackground();
            behind.drainInBackground();
            while (gateway.countLogged("\"peer\":\"behind\",\"items\"") == 0) {
                ahead.reportState(1, Long.MAX_VALUE);
                behind.reportState(1, 1);
                Thread.sleep(ROUND_MILLIS);
            }

            assertEquals(0, gateway.countLogged("\"peer\":\"ahead\",\"items\""));
        }
    }
}
