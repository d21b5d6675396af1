package org.rattanplank.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;
import org.rattanplank.gateway.target.AttemptFailure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests answers that end with their connection, whole or truncated. */
@Timeout(60)
class TruncatedResponseFlowTest {
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";
    private static final int MAX_CRASHES = 3;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private final TestGateway gateway;

    TruncatedResponseFlowTest() throws IOException {
        gateway = new TestGateway();
        resources.add(gateway);
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : resources) {
            each.close();
        }
    }

    private static String request(String id) {
        return "POST /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                + "\r\nTokens: 100,50\r\nTime-Left: 8000\r\nContent-Length: 1\r\n\r\nx";
    }

    /** Adds a target with the given answer, which ends with its connection. */
    private TestTarget addTarget(String id, String contentType, String body) throws IOException {
        return addTarget(id, (request, out) -> {
            TestTarget.write(out, TestTarget.closeDelimitedHead(request, contentType) + body);
            throw new IOException("connection closed by the test");
        });
    }

    private TestTarget addTarget(String id, TestTarget.Script script) throws IOException {
        TestTarget target = new TestTarget(script);
        resources.add(target);
        gateway.registerTarget(new TargetIncarnation(id, 0), target.port());
        return target;
    }

    /** Adds two targets with a script, and returns the bytes of a complete stream from them. */
    private String streamOfTwoTargets(TestTarget.Script script) throws IOException {
        addTarget("t1", script);
        addTarget("t2", script);
        gateway.awaitTargets(2);
        return gateway.caller().send(request("q1")).readUntil(LAST_CHUNK).replaceAll("\r\n[0-9a-f]+\r\n", "");
    }

    /** Adds targets whose processes end after the given part of an answer, and returns how many have ended. */
    private AtomicInteger addCrashingTargets(int count, String contentType, String body) throws IOException {
        AtomicInteger crashes = new AtomicInteger();
        for (int i = 0; i < count; i++) {
            TestTarget[] self = new TestTarget[1];
            self[0] = addTarget("c" + i, (request, out) -> {
                TestTarget.write(out, TestTarget.closeDelimitedHead(request, contentType) + body);
                crashes.incrementAndGet();
                self[0].crash();
                throw new IOException("crashed by the test");
            });
        }
        gateway.awaitTargets(count);
        return crashes;
    }

    private String send(String id) throws IOException {
        return gateway.caller().send(request(id)).readAll();
    }

    /** Guards against a stream that is framed as complete though its connection ended inside an event. */
    @Test
    void shouldBreakOffAStreamWhenItsConnectionEndsInsideAnEvent() throws Exception {
        gateway.configure(RouteKind.STREAM, false, 1);
        addTarget("t", TestTarget.EVENT_STREAM, FIRST_EVENT + "id: 2\nda");
        gateway.awaitTargets(1);

        String answer = send("q1");

        assertTrue(answer.contains("data: a"), answer);
        assertFalse(answer.endsWith(LAST_CHUNK), answer);
    }

    /** Guards against a complete answer to a stream that was broken off in its first event. */
    @Test
    void shouldReportAFailureWhenAStreamEndsInItsFirstEvent() throws Exception {
        gateway.configure(RouteKind.STREAM, false, 1);
        addTarget("t", TestTarget.EVENT_STREAM, "id: 1\ndata: a\n");
        gateway.awaitTargets(1);

        String head = gateway.caller().send(request("q1")).readUntil("\r\n\r\n");

        assertTrue(head.startsWith("HTTP/1.1 502 "), head);
    }

    /** Guards against a resumable stream that is not continued, as its truncated part counts as the whole. */
    @Test
    void shouldResumeAStreamWhenItsConnectionEndsInsideAnEvent() throws Exception {
        gateway.configure(RouteKind.STREAM, true, 2);
        TestTarget.Script script = (request, out) -> {
            String rest = TestTarget.header(request, "last-event-id").equals("1")
                    ? SECOND_EVENT
                    : FIRST_EVENT + "id: 2\ndata: b\n";
            TestTarget.write(out, TestTarget.closeDelimitedHead(request, TestTarget.EVENT_STREAM) + rest);
            throw new IOException("connection closed by the test");
        };

        String answer = streamOfTwoTargets(script);

        assertTrue(answer.contains(FIRST_EVENT + SECOND_EVENT), answer);
    }

    /** Guards against a stream that is cut though its backup could continue it, as its truncated part counts as whole. */
    @Test
    void shouldContinueAtTheBackupWhenTheConnectionEndsInsideAnEvent() throws Exception {
        gateway.configureModelWithoutResumption();
        TestTarget.Script script = (request, out) -> {
            boolean continued = !TestTarget.header(request, "continue-from").isEmpty();
            String part = continued ? SECOND_EVENT : FIRST_EVENT + "id: 2\ndata: b";
            TestTarget.write(out, TestTarget.closeDelimitedHead(request, TestTarget.EVENT_STREAM) + part);
            throw new IOException("connection closed by the test");
        };

        String answer = streamOfTwoTargets(script);

        assertTrue(answer.contains(FIRST_EVENT + SECOND_EVENT), answer);
    }

    /** Guards against a continued stream that is framed as complete though its backup broke it off, too. */
    @Test
    void shouldBreakOffAStreamWhenItEndsInsideAnEventAtItsBackup() throws Exception {
        gateway.configureModelWithoutResumption();
        TestTarget.Script script = (request, out) -> {
            boolean continued = !TestTarget.header(request, "continue-from").isEmpty();
            String part = continued ? "id: 2\ndata: b\n" : FIRST_EVENT + "id: 2\ndata: b";
            TestTarget.write(out, TestTarget.closeDelimitedHead(request, TestTarget.EVENT_STREAM) + part);
            throw new IOException("connection closed by the test");
        };
        addTarget("t1", script);
        addTarget("t2", script);
        gateway.awaitTargets(2);

        String answer = send("q1");

        assertFalse(answer.endsWith(LAST_CHUNK), answer);
    }

    /** Guards against a forwarded stream that is passed on with an end though it was broken off. */
    @Test
    void shouldReportAForwardedStreamAsFailedWhenItsConnectionEndsInsideAnEvent() throws Exception {
        gateway.configure(RouteKind.STREAM, false, 1);
        addTarget("t", TestTarget.EVENT_STREAM, FIRST_EVENT + "id: 2");
        gateway.awaitTargets(1);

        assertEquals(AttemptFailure.UNKNOWN.name(), forward());
    }

    /** Guards against a stream that is framed as complete though its engine crashed between two events. */
    @Test
    void shouldBreakOffAStreamWhenItsTargetCrashesBetweenTwoEvents() throws Exception {
        gateway.configure(RouteKind.STREAM, false, 1);
        addCrashingTargets(1, TestTarget.EVENT_STREAM, FIRST_EVENT);

        String answer = send("q1");

        assertTrue(answer.contains("data: a"), answer);
        assertFalse(answer.endsWith(LAST_CHUNK), answer);
    }

    /** Guards against a body without a length that is framed as complete though its target crashed. */
    @Test
    void shouldReportAFailureWhenATargetCrashesInABodyWithoutALength() throws Exception {
        gateway.configure(RouteKind.UNSAFE, false, 1);
        addCrashingTargets(1, "text/plain", "half of it");

        String head = gateway.caller().send(request("q1")).readUntil("\r\n\r\n");

        assertTrue(head.startsWith("HTTP/1.1 502 "), head);
    }

    /** Guards against a forwarded answer that is passed on with an end though its target crashed. */
    @Test
    void shouldReportAForwardedAnswerAsFailedWhenItsTargetCrashes() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        addCrashingTargets(1, "text/plain", "half of it");

        assertEquals(AttemptFailure.UNKNOWN.name(), forward());
    }

    /** Guards against a request that crashes one target after the other, as its truncated answers count as completed. */
    @Test
    void shouldQuarantineARequestWhenTargetsCrashInItsAnswer() throws Exception {
        gateway.configure(RouteKind.STREAM, false, 1);
        AtomicInteger crashes = addCrashingTargets(2 * MAX_CRASHES, TestTarget.EVENT_STREAM, FIRST_EVENT + "id");

        for (int i = 0; i < 2 * MAX_CRASHES; i++) {
            gateway.caller().send(request("q" + i)).readUntil("\r\n\r\n");
            gateway.linesOf("q" + i);
        }

        assertEquals(MAX_CRASHES, crashes.get());
    }

    /** Guards against whole answers without a length that count as truncated. */
    @Test
    void shouldCompleteAnAnswerWithoutALengthWhenItsTargetStillRuns() throws Exception {
        gateway.configure(RouteKind.STREAM, false, 1);
        addTarget("t", TestTarget.EVENT_STREAM, FIRST_EVENT + SECOND_EVENT);
        gateway.awaitTargets(1);

        String answer = gateway.caller().send(request("q1")).readUntil(LAST_CHUNK);

        assertTrue(answer.contains("id: 2\ndata: b\n\n"), answer);
    }

    /** Guards against answers that have no body and count as truncated, as nothing marks their end. */
    @Test
    void shouldCompleteAnAnswerWhenItHasNoBody() throws Exception {
        gateway.configure(RouteKind.UNSAFE, false, 1);
        addTarget("t", (request, out) -> {
            String status = request.startsWith("HEAD") ? "200 OK" : TestTarget.header(request, "request-id") + " X";
            TestTarget.write(
                    out,
                    "HTTP/1.1 " + status + "\r\nRequest-Id: " + TestTarget.header(request, "request-id") + "\r\n\r\n");
        });
        gateway.awaitTargets(1);

        for (String status : List.of("204", "304")) {
            String answer = gateway.caller().send(request(status)).readUntil("\r\n\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
        }
        String head = gateway.caller()
                .send("HEAD /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\nTime-Left: 8000\r\n\r\n")
                .readUntil("\r\n\r\n");
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
    }

    /** Guards against a request that is run though its caller left before its body was whole. */
    @Test
    void shouldNotRunARequestWhenItsBodyIsCut() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        TestTarget target =
                addTarget("t", (request, out) -> TestTarget.write(out, TestTarget.answer(request, 200, "")));
        gateway.awaitTargets(1);
        String head = "POST /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: cut\r\nTime-Left: 8000\r\n";

        for (String cut : List.of("Content-Length: 5\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")) {
            try (TestCaller caller = gateway.caller()) {
                caller.send(head + cut);
            }
        }
        gateway.caller().send(request("whole")).readUntil("\r\n\r\n");

        assertEquals("whole", TestTarget.header(target.nextRequest(), "request-id"));
        assertEquals(0, target.unreadRequests());
    }

    /** Forwards a request as another region's host does, and returns how it failed. */
    private String forward() throws IOException {
        try (TestPeer peer = gateway.peer()) {
            peer.sendRequest("q1", 20_000, peer.await(PeerFrame.State.class));
            return peer.await(PeerFrame.CallFailed.class).failure();
        }
    }
}
