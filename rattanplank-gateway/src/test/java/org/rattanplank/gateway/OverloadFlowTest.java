package org.rattanplank.gateway;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;
import org.rattanplank.gateway.target.AttemptFailure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Engines that have more to read than they can in time. */
@Timeout(60)
class OverloadFlowTest {
    /** An engine that has told nothing yet is taken to read 50 tokens a millisecond: four times the objective. */
    private static final int BACKLOG_TOKENS = 200_000;

    private static final int SMALL_TOKENS = 100;

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

    private static String generation(String id, int promptTokens) {
        return "POST /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nTokens: " + promptTokens
                + ",10\r\nTime-Left: 20000\r\nContent-Length: 1\r\n\r\nx";
    }

    /** A target that takes what comes and says nothing. */
    private static TestTarget unresponsiveTarget() throws IOException {
        return new TestTarget((request, out) -> {});
    }

    private void queueBacklog(TestTarget target) throws IOException, InterruptedException {
        gateway.caller().send(generation("backlog", BACKLOG_TOKENS));
        target.nextRequest();
    }

    /**
     * Symptom: a log full of refusals in which nobody can tell a true overload from a wrong estimate. Sequence: an
     * engine has much to read; a request is refused. Cause: the line told that it would wait too long, and nothing of
     * where, how long and what its own prompt takes.
     */
    @Test
    void shouldLogTheEstimateWhenARequestIsRejectedForItsQueueWait() throws Exception {
        try (TestTarget target = unresponsiveTarget()) {
            gateway.target("t1", target.port());
            queueBacklog(target);

            String answer =
                    gateway.caller().send(generation("q1", SMALL_TOKENS)).readUntil("\r\n\r\n");
            List<String> lines = gateway.linesOf("q1");

            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(
                    lines.stream()
                            .anyMatch(line -> line.contains("\"region\":\"suva\"")
                                    && line.contains("\"waitMillis\":4000.0")
                                    && line.contains("\"expectedMillis\":404")
                                    && line.contains("\"urgency\":\"MIDDLE\"")),
                    lines::toString);
        }
    }

    /**
     * Symptom: too little of the least urgent kind is served in time on a large installation; its requests reach an engine
     * of another region within 0.2 s, are begun there seconds later, and their callers leave. Sequence: at a peak thirty
     * hosts of one region forward to the same other one, each by a report of its load that is up to a second old and knows
     * of its own sends alone; the host that is asked expects several times the objective, and sends the request to an
     * engine all the same, where it delays those behind it. Cause: whether a request would be late was asked once, where
     * it arrived, and not where the load is known.
     */
    @Test
    void shouldRejectAForwardedRequestWhenItWouldBeLateHere() throws Exception {
        try (TestTarget target = unresponsiveTarget();
                TestPeer peer = gateway.peer()) {
            gateway.target("t1", target.port());
            queueBacklog(target);

            peer.ask("q1", 10_000, peer.await(PeerFrame.State.class), Urgency.LAST, SMALL_TOKENS);
            PeerFrame.AnswerFailed answer = peer.await(PeerFrame.AnswerFailed.class);

            assertEquals(AttemptFailure.NOT_SENT.name(), answer.failure());
            assertEquals(0, target.unreadRequests());
        }
    }

    /**
     * Symptom: as above; a third of the requests that were late or left by their callers had been sent once more, to a
     * place that was expected to take up to seven times the objective. Sequence: an engine says that it does not run a
     * request (another target has its address, or it is full); every other place has much to read. Cause: whether it would
     * be late was asked before the first sending alone. It has not run, so its caller can be told at once.
     */
    @Test
    void shouldRejectARequestThatDidNotRunWhenItWouldBeLateEverywhereElse() throws Exception {
        TestTarget.Script refusing = (request, out) -> TestTarget.write(
                out,
                "HTTP/1.1 503 X\r\nRequest-Id: " + TestTarget.header(request, "request-id")
                        + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        try (TestTarget backlog = unresponsiveTarget();
                TestTarget full = new TestTarget(refusing)) {
            gateway.target("t1", backlog.port());
            queueBacklog(backlog);
            gateway.target("t2", full.port());

            String answer =
                    gateway.caller().send(generation("q1", SMALL_TOKENS)).readUntil("\r\n\r\n");

            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertEquals("q1", TestTarget.header(full.nextRequest(), "request-id"));
            assertEquals(0, backlog.unreadRequests());
        }
    }

    /**
     * Symptom: all kinds of requests are late at once, and no line tells whether hosts, links or engines were slow.
     * Sequence: the event loop is held up; requests are read when it goes on. Cause: their times begin when they are
     * read, so nothing showed what they had waited for it.
     */
    @Test
    void shouldLogALateTickWhenTheEventLoopWasBlocked() throws Exception {
        java.util.concurrent.CountDownLatch held = gateway.blockEventLoop();
        Thread.sleep(300);
        held.countDown();

        gateway.awaitLogged("\"event\":\"loop_late\"");
    }
}
