package org.rattanplank.gateway;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.TargetRun;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What hosts of a region tell each other of prompts that take long to read, before their next states. */
@Timeout(60)
class LargePrefillFlowTest {
    private static final int LARGE_TOKENS = 12_000;
    private static final int SMALL_TOKENS = 100;
    private static final String TARGET = new TargetRun("t1", 0).text();

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

    /** A target that takes what comes and says nothing. */
    private static TestTarget unresponsiveTarget() throws IOException {
        return new TestTarget((request, out) -> {});
    }

    /** A target that breaks off each request, so that the lines of it are written. */
    private static TestTarget closingTarget() throws IOException {
        return new TestTarget((request, out) -> {
            throw new IOException("break off");
        });
    }

    /** Has a peer say its state, and waits for the answer. */
    private static PeerFrame.State exchangeStates(TestPeer peer, boolean readsLargeReads) throws IOException {
        List<PeerFrame> frames = unreadFrames(peer, readsLargeReads);
        return (PeerFrame.State) frames.get(frames.size() - 1);
    }

    /** All that a peer was told and hasn't read yet: it says its state again, and reads up to the answer. */
    private static List<PeerFrame> unreadFrames(TestPeer peer, boolean readsLargeReads) throws IOException {
        peer.sayItIsIdle(readsLargeReads);
        return peer.framesUntilHeard();
    }

    private static void assertNoLargePrefillNotice(TestPeer peer, boolean readsLargeReads) throws IOException {
        List<PeerFrame> frames = unreadFrames(peer, readsLargeReads);
        assertTrue(frames.stream().noneMatch(PeerFrame.LargeRead.class::isInstance), frames::toString);
    }

    private static boolean reportsWork(PeerFrame frame) {
        return frame instanceof PeerFrame.LargeRead
                || frame instanceof PeerFrame.State state && !state.sent().isEmpty();
    }

    /** Waits until all that a peer has said was read: a request whose time is up is sent back at once. */
    private static void awaitProcessed(TestPeer peer, PeerFrame.State heard) throws IOException {
        peer.ask("late", 0, heard);
        peer.await(PeerFrame.AnswerFailed.class);
    }

    /** Asks for a small generation and checks what the line of its sending tells. */
    private void assertQueuedTokens(int tokens) throws IOException {
        sendRequest("q1", SMALL_TOKENS);
        List<String> lines = gateway.linesOf("q1");
        assertTrue(
                lines.stream()
                        .anyMatch(line -> line.contains("\"event\":\"sent\"")
                                && line.contains("\"tokensWaitingThere\":" + tokens + ",")),
                lines::toString);
    }

    /** Guards against long prompts of two hosts that meet at one engine, as neither has heard of the other's. */
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

            PeerFrame.TargetWork told =
                    assertInstanceOf(PeerFrame.LargeRead.class, first).work();
            assertEquals(TARGET, told.target());
            assertEquals(1, told.work().requests());
            assertEquals(LARGE_TOKENS, told.work().waiting().ahead(Urgency.MIDDLE));
        }
    }

    /** Guards against links that end while hosts are updated, as an earlier version can't read the frame. */
    @Test
    void shouldNotNotifyAHostOfALongPromptWhenItDoesNotSupportTheNotice() throws Exception {
        try (TestTarget target = unresponsiveTarget();
                TestPeer older = gateway.sameRegionPeer("n1")) {
            gateway.target("t1", target.port());
            exchangeStates(older, false);

            sendRequest("q1", LARGE_TOKENS);
            target.nextRequest();

            assertNoLargePrefillNotice(older, false);
        }
    }

    /** Guards against dear bytes between regions for what says nothing there. */
    @Test
    void shouldNotNotifyAHostOfAnotherRegionWhenItSendsALongPrompt() throws Exception {
        try (TestTarget target = unresponsiveTarget();
                TestPeer far = gateway.peer()) {
            gateway.target("t1", target.port());
            exchangeStates(far, true);

            sendRequest("q1", LARGE_TOKENS);
            target.nextRequest();

            assertNoLargePrefillNotice(far, true);
        }
    }

    /** Guards against a frame for each small prompt, of which there are many a second. */
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

    /** Guards against a prompt sent behind a long one of another host, which has told of it before its next state. */
    @Test
    void shouldCountALongPromptAtOnceWhenAHostOfItsRegionReportsIt() throws Exception {
        try (TestTarget target = closingTarget();
                TestPeer peer = gateway.sameRegionPeer("n1")) {
            gateway.target("t1", target.port());
            PeerFrame.State heard = exchangeStates(peer, true);

            peer.tellOfLargeRead(TARGET, LARGE_TOKENS);
            awaitProcessed(peer, heard);

            assertQueuedTokens(LARGE_TOKENS);
        }
    }

    /** Guards against a prompt that counts for good, as the host's next state doesn't name the target any more. */
    @Test
    void shouldStopCountingALongPromptWhenTheNextStateReportOmitsIt() throws Exception {
        try (TestTarget target = closingTarget();
                TestPeer peer = gateway.sameRegionPeer("n1")) {
            gateway.target("t1", target.port());
            PeerFrame.State heard = exchangeStates(peer, true);

            peer.tellOfLargeRead(TARGET, LARGE_TOKENS);
            peer.sayItIsIdle(true);
            awaitProcessed(peer, heard);

            assertQueuedTokens(0);
        }
    }

    /** Guards against work at this region's targets believed of a host that can't send there. */
    @Test
    void shouldNotCountALongPromptWhenAHostOfAnotherRegionReportsIt() throws Exception {
        try (TestTarget target = closingTarget();
                TestPeer peer = gateway.peer()) {
            gateway.target("t1", target.port());
            PeerFrame.State heard = exchangeStates(peer, true);

            peer.tellOfLargeRead(TARGET, LARGE_TOKENS);
            awaitProcessed(peer, heard);

            assertQueuedTokens(0);
        }
    }
}
