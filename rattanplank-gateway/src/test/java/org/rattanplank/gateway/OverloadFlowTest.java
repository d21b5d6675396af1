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

/** Tests requests to engines that have more prefill queued than they can process in time. */
@Timeout(60)
class OverloadFlowTest {
    /**
     * An engine without statistics is estimated to prefill 50 tokens per millisecond, so this takes four times the
     * objective.
     */
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

    /** Returns a target that accepts requests and never responds. */
    private static TestTarget unresponsiveTarget() throws IOException {
        return new TestTarget((request, out) -> {});
    }

    private void queueBacklog(TestTarget target) throws IOException, InterruptedException {
        gateway.caller().send(generation("backlog", BACKLOG_TOKENS));
        target.nextRequest();
    }

    /**
     * Guards against rejections in the log that don't show whether they are due to overload or to a wrong estimate: the
     * line must contain the region, the queue wait and the prefill time of the request.
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
     * Guards against forwarded requests that start seconds late and whose callers disconnect. At a peak thirty hosts of
     * one region forward to the same other region, each by a load report that is up to one second old and without the
     * sends of the others. The receiving host must check again whether the request would be late, as only it knows the
     * load; accepted, the request would delay those behind it.
     */
    @Test
    void shouldRejectAForwardedRequestWhenItWouldBeLateHere() throws Exception {
        try (TestTarget target = unresponsiveTarget();
                TestPeer peer = gateway.peer()) {
            gateway.target("t1", target.port());
            queueBacklog(target);

            peer.sendRequest("q1", 10_000, peer.await(PeerFrame.State.class), Urgency.LAST, SMALL_TOKENS);
            PeerFrame.CallFailed answer = peer.await(PeerFrame.CallFailed.class);

            assertEquals(AttemptFailure.NOT_SENT.name(), answer.failure());
            assertEquals(0, target.unreadRequests());
        }
    }

    /**
     * Guards against retries at a target or region that is expected to take several times the objective: a target
     * reports that it did not run a request (another target has its address, or it is full), and every other target has
     * a long queue. The estimate must be checked before each send, not only the first. The request has not run, so its
     * caller can be notified at once. A third of the requests that were late or left by their callers had been sent again
     * to one expected to take up to seven times the objective.
     */
    @Test
    void shouldRejectARequestThatDidNotRunWhenItWouldBeLateEverywhereElse() throws Exception {
        TestTarget.Script rejectingScript = (request, out) -> TestTarget.write(
                out,
                "HTTP/1.1 503 X\r\nRequest-Id: " + TestTarget.header(request, "request-id")
                        + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        try (TestTarget backlog = unresponsiveTarget();
                TestTarget rejecting = new TestTarget(rejectingScript)) {
            gateway.target("t1", backlog.port());
            queueBacklog(backlog);
            gateway.target("t2", rejecting.port());

            String answer =
                    gateway.caller().send(generation("q1", SMALL_TOKENS)).readUntil("\r\n\r\n");

            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertEquals("q1", TestTarget.header(rejecting.nextRequest(), "request-id"));
            assertEquals(0, backlog.unreadRequests());
        }
    }

    /**
     * Guards against delays without a log line: the event loop is blocked, and requests are read when it continues.
     * Their durations start at the read, so they don't include the delay.
     */
    @Test
    void shouldLogALateTickWhenTheEventLoopWasBlocked() throws Exception {
        java.util.concurrent.CountDownLatch blocked = gateway.blockEventLoop();
        Thread.sleep(300);
        blocked.countDown();

        gateway.awaitLogged("\"event\":\"loop_late\"");
    }
}
