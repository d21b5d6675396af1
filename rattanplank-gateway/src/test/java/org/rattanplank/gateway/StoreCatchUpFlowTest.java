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

/** A host that asks the store tells others of its region what they lack. */
@Timeout(60)
class StoreCatchUpFlowTest {
    /** As many as there are beside the followers in a region of a large installation. */
    private static final int PEERS = 27;

    /** Some 240 targets and hosts with their configuration. */
    private static final int STORE_BYTES = 100_000;

    /** A tenth of the link of the smallest hosts, 10 Mbit/s: the rest is for callers. */
    private static final int LINK_TENTH_BYTES_PER_MILLI = 125;

    /** So large that the system's own buffers hold only some of them. */
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
     * Symptom: requests reach targets of an evacuated data centre seven seconds after the evacuation was confirmed, all
     * from one host; its connections time out, and its requests arrive 2.5 s after they were sent. Sequence: the store's
     * history is cut while an evacuation and other changes are written; one of the three hosts that follow the store for
     * their region learns them later than the others. It finds that what the 27 others know is not what it knows, and
     * tells all of it to each of them, once a second. Its link of 10 Mbit/s is full; its own calls to the store wait
     * behind what it tells, so that it stays behind and goes on telling. Cause: nothing bounded what a host tells of the
     * store by what its link bears.
     */
    @Test
    void shouldLeaveMostOfItsLinkToCallersWhenManyHostsAreBehind() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        gateway.putBytes("targets", STORE_BYTES);
        List<TestPeer> neighbours = gateway.sameRegionPeers(PEERS);

        long beganNanos = System.nanoTime();
        for (int i = 0; i < ROUNDS; i++) {
            for (TestPeer neighbour : neighbours) {
                neighbour.sayItKnows(i, 1);
            }
            Thread.sleep(ROUND_MILLIS);
        }
        long bytes = gateway.metric("peer_bytes_sent{kind=\"store\"}");
        double tookMillis = (System.nanoTime() - beganNanos) / NANOS_PER_MILLI;

        assertTrue(bytes > 0, "nobody was told");
        assertTrue(
                bytes <= 2 * STORE_BYTES + LINK_TENTH_BYTES_PER_MILLI * tookMillis,
                bytes + " bytes in " + tookMillis + " ms");
        for (TestPeer neighbour : neighbours) {
            neighbour.close();
        }
    }

    /**
     * Symptom: from the moment at which a configuration of 1,300 routes is written, and written anew three times a second,
     * hosts of all regions lose each other again and again, all kinds of requests are late, and of the least urgent kind
     * hardly any is in time, until the end of the day. Sequence: three hosts of each region learn each version, 0.4 MB, and
     * send it to each of twenty others; their links of 10 Mbit/s take six seconds for what comes in 0.3; signs of life and
     * requests wait behind it. Cause: each version was queued for each host, however much was waiting already.
     */
    @Test
    void shouldQueueNoFurtherVersionsWhenAHostHasNotReceivedTheLast() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        try (TestPeer slow = gateway.sameRegionPeer("slow")) {
            slow.sayItKnows(1, 1);
            gateway.awaitLogged("\"peer\":\"slow\"");

            for (int i = 0; i < ROUNDS; i++) {
                gateway.putIncompressible("large", LARGE_BYTES);
                slow.sayItKnows(1, Long.MAX_VALUE);
                Thread.sleep(ROUND_MILLIS);
            }

            // The system's own buffers of both ends take some megabytes.
            long bytes = gateway.metric("peer_bytes_sent{kind=\"store\"}");
            assertTrue(bytes < ROUNDS / 2 * LARGE_BYTES, "bytes: " + bytes);
        }
    }

    /**
     * Symptom: hosts take each other for dead while they talk, end their links, and begin anew with what they were telling.
     * Sequence: a large item comes over a crowded link for longer than a link may be silent. Cause: only whole frames
     * counted as signs of life.
     */
    @Test
    void shouldKeepALinkWhenALargeItemArrivesSlowly() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        try (TestPeer slow = gateway.sameRegionPeer("slow")) {
            slow.readOn();
            slow.sayItKnows(1, 1);
            slow.sendSlowly(STORE_BYTES, ROUNDS, ROUND_MILLIS);

            assertEquals(0, gateway.countLogged("\"event\":\"peer_lost\""));
        }
    }

    /**
     * Symptom: a host that is behind tells others what they know already, once a second. Sequence: it learns changes of
     * the store later than the other hosts of its region; their sums differ from its own. Cause: whoever knew something
     * else was taken to lack something.
     */
    @Test
    void shouldSendOnlyToTheHostThatIsBehindWhenBothDiffer() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        try (TestPeer ahead = gateway.sameRegionPeer("ahead");
                TestPeer behind = gateway.sameRegionPeer("behind")) {
            ahead.readOn();
            behind.readOn();
            while (gateway.countLogged("\"peer\":\"behind\",\"items\"") == 0) {
                ahead.sayItKnows(1, Long.MAX_VALUE);
                behind.sayItKnows(1, 1);
                Thread.sleep(ROUND_MILLIS);
            }

            assertEquals(0, gateway.countLogged("\"peer\":\"ahead\",\"items\""));
        }
    }
}
