package org.rattanplank.gateway;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.TargetIncarnation;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the notices about long prompts that hosts of a region send each other ahead of their next state reports. */
@Timeout(60)
class LargePrefillFlowTest {
    private static final int LARGE_TOKENS = 12_000;
    private static final int SMALL_TOKENS = 100;
    private static final String TARGET = new TargetIncarnation("t1", 0).text();

    private TestGateway gateway;

    @BeforeEach
    void startGateway() throws IOException {
        gateway = new TestGateway();
        gateway.configureModel();
    }

    @AfterEach
    void closeGateway() {
        gateway.close();
    }

    private void sendRequest(String id, int promptTokens) throws IOException {
        gateway.caller()
                .send("POST /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nTokens: " + promptTokens
                        + ",10\r\nTime-Left: 20000\r\nContent-Length: 1\r\n\r\nx");
    }

    /** Returns a target that accepts requests and never responds. */
    private static TestTarget unresponsiveTarget() throws IOException {
        return new TestTarget((request, out) -> {});
    }

    /**
     * Returns a target that closes the connection on each request, so that the log lines of the request are written.
     */
    private static TestTarget closingTarget() throws IOException {
        return new TestTarget((request, out) -> {
            throw new IOException("connection closed by the test");
        });
    }

    /** Sends a peer's state report and waits for the gateway's. */
    private static PeerFrame.State exchangeStates(TestPeer peer, boolean supportsLargePrefillNotices)
            throws IOException {
        List<PeerFrame> frames = unreadFrames(peer, supportsLargePrefillNotices);
        return (PeerFrame.State) frames.get(frames.size() - 1);
    }

    /**
     * Returns all frames sent to a peer that it hasn't read yet: the peer reports its state again and reads up to the
     * reply.
     */
    private static List<PeerFrame> unreadFrames(TestPeer peer, boolean supportsLargePrefillNotices) throws IOException {
        peer.reportIdle(supportsLargePrefillNotices);
        return peer.framesUntilEchoed();
    }

    private static void assertNoLargePrefillNotice(TestPeer peer, boolean supportsLargePrefillNotices)
            throws IOException {
        List<PeerFrame> frames = unreadFrames(peer, supportsLargePrefillNotices);
        assertTrue(frames.stream().noneMatch(PeerFrame.LargePrefillNotice.class::isInstance), frames::toString);
    }

    private static boolean reportsWork(PeerFrame frame) {
        return frame instanceof PeerFrame.LargePrefillNotice
                || frame instanceof PeerFrame.State state && !state.targetWork().isEmpty();
    }

    /** Waits until all frames sent by a peer were processed: a request after its deadline is rejected at once. */
    private static void awaitProcessed(TestPeer peer, PeerFrame.State gatewayState) throws IOException {
        peer.sendRequest("late", 0, gatewayState);
        peer.await(PeerFrame.CallFailed.class);
    }

    /** Sends a small generation and checks the number of queued tokens in its log line. */
    private void assertQueuedTokens(int tokens) throws IOException {
        sendRequest("q1", SMALL_TOKENS);
        List<String> lines = gateway.linesOf("q1");
        assertTrue(
                lines.stream()
                        .anyMatch(line -> line.contains("\"event\":\"sent\"")
                                && line.contains("\"tokensWaitingThere\":" + tokens + ",")),
                lines::toString);
    }

    /** Guards against long prompts of two hosts that queue at one engine because neither knows of the other's. */
    @Test
    void shouldNotifyAHostOfItsRegionAtOnceWhenItSendsALongPrompt() throws Exception {
        try (TestTarget target = unresponsiveTarget();
                TestPeer peer = gateway.sameRegionPeer("n1")) {
            gateway.target("t1", target.port());
            exchangeStates(peer, true);

            sendRequest("q1", LARGE_TOKENS);
            target.nextRequest();
            PeerFrame first = unreadFrames(peer, true).stream()
                    .filter(LargePrefillFlowTest::reportsWork)
                    .findFirst()
                    .orElseThrow();

            PeerFrame.TargetWork reported =
                    assertInstanceOf(PeerFrame.LargePrefillNotice.class, first).work();
            assertEquals(TARGET, reported.target());
            assertEquals(1, reported.work().requests());
            assertEquals(LARGE_TOKENS, reported.work().prefillBacklog().ahead(Urgency.MIDDLE));
        }
    }

    /** Guards against links that close during a rolling update, as an earlier version can't decode the frame. */
    @Test
    void shouldNotNotifyAHostOfALongPromptWhenItDoesNotSupportTheNotice() throws Exception {
        try (TestTarget target = unresponsiveTarget();
                TestPeer olderPeer = gateway.sameRegionPeer("n1")) {
            gateway.target("t1", target.port());
            exchangeStates(olderPeer, false);

            sendRequest("q1", LARGE_TOKENS);
            target.nextRequest();

            assertNoLargePrefillNotice(olderPeer, false);
        }
    }

    /** Guards against traffic between regions, which is expensive, for a notice that is of no use there. */
    @Test
    void shouldNotNotifyAHostOfAnotherRegionWhenItSendsALongPrompt() throws Exception {
        try (TestTarget target = unresponsiveTarget();
                TestPeer remotePeer = gateway.peer()) {
            gateway.target("t1", target.port());
            exchangeStates(remotePeer, true);

            sendRequest("q1", LARGE_TOKENS);
            target.nextRequest();

            assertNoLargePrefillNotice(remotePeer, true);
        }
    }

    /** Guards against one frame for each small prompt, of which there are many per second. */
    @Test
    void shouldNotNotifyAHostOfItsRegionWhenItSendsAShortPrompt() throws Exception {
        try (TestTarget target = unresponsiveTarget();
                TestPeer peer = gateway.sameRegionPeer("n1")) {
            gateway.target("t1", target.port());
            exchangeStates(peer, true);

            sendRequest("q1", SMALL_TOKENS);
            target.nextRequest();

            assertNoLargePrefillNotice(peer, true);
        }
    }

    /**
     * Guards against a prompt sent to an engine that is busy with a long prompt of another host, which has reported it
     * ahead of its next state report.
     */
    @Test
    void shouldCountALongPromptAtOnceWhenAHostOfItsRegionReportsIt() throws Exception {
        try (TestTarget target = closingTarget();
                TestPeer peer = gateway.sameRegionPeer("n1")) {
            gateway.target("t1", target.port());
            PeerFrame.State gatewayState = exchangeStates(peer, true);

            peer.sendLargePrefillNotice(TARGET, LARGE_TOKENS);
            awaitProcessed(peer, gatewayState);

            assertQueuedTokens(LARGE_TOKENS);
        }
    }

    /**
     * Guards against a prompt that is counted indefinitely although the host's next state report no longer contains the
     * target.
     */
    @Test
    void shouldStopCountingALongPromptWhenTheNextStateReportOmitsIt() throws Exception {
        try (TestTarget target = closingTarget();
                TestPeer peer = gateway.sameRegionPeer("n1")) {
            gateway.target("t1", target.port());
            PeerFrame.State gatewayState = exchangeStates(peer, true);

            peer.sendLargePrefillNotice(TARGET, LARGE_TOKENS);
            peer.reportIdle(true);
            awaitProcessed(peer, gatewayState);

            assertQueuedTokens(0);
        }
    }

    /** Guards against accepting work at this region's targets from a host that can't send requests there. */
    @Test
    void shouldNotCountALongPromptWhenAHostOfAnotherRegionReportsIt() throws Exception {
        try (TestTarget target = closingTarget();
                TestPeer peer = gateway.peer()) {
            gateway.target("t1", target.port());
            PeerFrame.State gatewayState = exchangeStates(peer, true);

            peer.sendLargePrefillNotice(TARGET, LARGE_TOKENS);
            awaitProcessed(peer, gatewayState);

            assertQueuedTokens(0);
        }
    }
}
