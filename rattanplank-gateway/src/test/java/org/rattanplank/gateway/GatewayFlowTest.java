package org.rattanplank.gateway;

import java.io.IOException;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(60)
class GatewayFlowTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final long IN_PROGRESS_MILLIS = 2_000;
    private static final long STOP_ELAPSED_MILLIS = 1_000;

    private TestGateway gateway;

    @BeforeEach
    void startGateway() throws IOException {
        gateway = new TestGateway();
    }

    @AfterEach
    void closeGateway() {
        gateway.close();
    }

    private static String request(String id, String body) {
        return "POST /a/x?q=%2F..%2f HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                + "\r\nTime-Left: 5000\r\nExpected: forged\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Test
    void shouldProxyARequestUnchangedWhenATargetAnswers() throws Exception {
        try (TestTarget target = TestTarget.answering("done")) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());

            String answer = gateway.caller().send(request("q1", "two seals")).readUntil("done");
            String request = target.nextRequest();

            assertTrue(answer.contains("Stamp: s"), answer);
            assertTrue(request.startsWith("POST /a/x?q=%2F..%2f HTTP/1.1\r\n"), request);
            assertTrue(request.endsWith("\r\n\r\ntwo seals"), request);
            assertEquals("t1", TestTarget.header(request, "expected"));
            assertEquals("q1", TestTarget.header(request, "request-id"));
        }
    }

    @Test
    void shouldAnswerServiceUnavailableWhenNoConfigurationIsKnown() throws Exception {
        assertTrue(
                gateway.caller().send(request("q1", "")).readUntil("\r\n\r\n").startsWith("HTTP/1.1 503"));
    }

    @Test
    void shouldAnswerNotFoundWhenNoRouteMatches() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);

        assertTrue(gateway.caller()
                .send("GET /b/ HTTP/1.1\r\nHost: desk.example\r\n\r\n")
                .readUntil("\r\n\r\n")
                .startsWith("HTTP/1.1 404"));
    }

    /**
     * Guards against a duplicate booking: the target accepts the request and its connection is reset before the
     * response. If the gateway retried it, or reported it as not run so that the caller retries, it would run twice.
     */
    @Test
    void shouldNeitherRetryNorReportNotRunWhenTheTargetOfAnUnsafeRequestCloses() throws Exception {
        try (TestTarget breaking = new TestTarget((request, out) -> {
                    throw new IOException("connection closed by the test");
                });
                TestTarget other = TestTarget.answering("again")) {
            gateway.configure(RouteKind.UNSAFE, false, 3).target("t1", breaking.port());

            String answer = gateway.caller().send(request("q1", "b")).readUntil("\r\n\r\n");

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertEquals(0, other.unreadRequests());
        }
    }

    @Test
    void shouldSendRetryAfterWhenTheOnlyTargetRejects() throws Exception {
        try (TestTarget full = new TestTarget(
                (request, out) -> TestTarget.write(out, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", full.port());

            String answer = gateway.caller().send(request("q1", "b")).readUntil("\r\n\r\n");

            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 0."), answer);
        }
    }

    @Test
    void shouldRetryAtAnotherTargetWhenASafeRequestFails() throws Exception {
        TestTarget.Script script = (request, out) -> TestTarget.write(
                out,
                TestTarget.header(request, "expected").equals("bad")
                        ? TestTarget.answer(request, 500, "no")
                        : TestTarget.answer(request, 200, "yes"));
        try (TestTarget target = new TestTarget(script)) {
            gateway.configure(RouteKind.SAFE, false, 2)
                    .target("bad", target.port())
                    .target("good", target.port());

            for (int i = 0; i < 4; i++) {
                assertTrue(gateway.caller()
                        .send(request("q" + i, ""))
                        .readUntil("yes")
                        .startsWith("HTTP/1.1 200"));
            }
        }
    }

    /**
     * Guards against replacing a target's failure response by the gateway's own: the response must not be discarded for
     * a retry if there is no other target.
     */
    @Test
    void shouldForwardAFailureWhenNoOtherTargetIsAvailable() throws Exception {
        try (TestTarget target =
                new TestTarget((request, out) -> TestTarget.write(out, TestTarget.answer(request, 500, "no")))) {
            gateway.configure(RouteKind.SAFE, false, 2).target("t1", target.port());

            String answer = gateway.caller().send(request("q1", "")).readUntil("no");

            assertTrue(answer.startsWith("HTTP/1.1 500"), answer);
            assertTrue(answer.contains("Stamp: s"), answer);
        }
    }

    /**
     * Guards against missing or duplicate events when the target's connection closes in the middle of the third event
     * and another target resumes: a partial event was forwarded, or the second attempt resumed at the wrong event.
     */
    @Test
    void shouldResumeAfterTheLastCompleteEventWhenAResumableStreamBreaks() throws Exception {
        TestTarget.Script script = (request, out) -> {
            String last = TestTarget.header(request, "last-event-id");
            TestTarget.write(out, TestTarget.streamHead(request));
            if (last.isEmpty()) {
                TestTarget.write(out, TestTarget.chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
                throw new IOException("connection closed by the test");
            }
            TestTarget.write(out, TestTarget.chunk("id: 3\ndata: after " + last + "\n\n") + "0\r\n\r\n");
        };
        try (TestTarget target = new TestTarget(script)) {
            gateway.configure(RouteKind.STREAM, true, 2)
                    .target("t1", target.port())
                    .target("t2", target.port());

            String answer = gateway.caller().send(request("q1", "p")).readUntil("0\r\n\r\n");
            String events = answer.replaceAll("\r\n[0-9a-f]+\r\n", "");

            assertTrue(events.contains("data: b\n\nid: 3\ndata: after 2\n\n"), answer);
            assertFalse(events.contains("da" + "id"), answer);
        }
    }

    @Test
    void shouldTruncateTheResponseWhenAStreamThatCannotResumeBreaks() throws Exception {
        TestTarget.Script script = (request, out) -> {
            TestTarget.write(out, TestTarget.streamHead(request) + TestTarget.chunk("id: 1\ndata: a\n\n"));
            throw new IOException("connection closed by the test");
        };
        try (TestTarget target = new TestTarget(script)) {
            gateway.configure(RouteKind.STREAM, false, 3)
                    .target("t1", target.port())
                    .target("t2", target.port());

            String answer = gateway.caller().send(request("q1", "p")).readAll();

            assertTrue(answer.contains("data: a"), answer);
            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
        }
    }

    @Test
    void shouldCancelTheAttemptWhenTheCallerDisconnects() throws Exception {
        CountDownLatch leave = new CountDownLatch(1);
        TestTarget.Script script = (request, out) -> {
            TestTarget.write(out, TestTarget.streamHead(request) + TestTarget.chunk("id: 1\ndata: a\n\n"));
            leave.countDown();
        };
        try (TestTarget target = new TestTarget(script)) {
            gateway.configure(RouteKind.STREAM, true, 2).target("t1", target.port());
            TestCaller caller = gateway.caller().send(request("q1", "p"));
            assertTrue(leave.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));

            caller.close();

            target.awaitClosed();
            assertEquals(1, target.unreadRequests());
        }
    }

    /**
     * Guards against responses delivered to the wrong request: a target responds twice, and the second response arrives
     * after the connection carries the next request. The first response read was taken as that of the request in
     * progress.
     */
    @Test
    void shouldIgnoreAStaleResponseWhenItArrivesBeforeTheOwnOne() throws Exception {
        TestTarget.Script script = (request, out) -> TestTarget.write(
                out,
                TestTarget.answer(request, 200, "stale").replaceFirst("Request-Id: [^\r]*", "Request-Id: earlier")
                        + TestTarget.answer(request, 200, "own"));
        try (TestTarget target = new TestTarget(script)) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());

            String answer = gateway.caller().send(request("q1", "b")).readUntil("own");

            assertFalse(answer.contains("stale"), answer);
        }
    }

    /**
     * Guards against request smuggling: a request states its length twice, and the bytes between the two ends are a
     * request of their own if two programs on its path use different lengths.
     */
    @Test
    void shouldRejectARequestWhenItHasTwoLengths() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        String hidden = "GET /a/hidden HTTP/1.1\r\nHost: desk.example\r\n\r\n";

        String answer = gateway.caller()
                .send("POST /a/ HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n"
                        + "\r\n0\r\n\r\n" + hidden)
                .readAll();

        assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
        assertEquals(answer.indexOf("HTTP/1.1"), answer.lastIndexOf("HTTP/1.1"));
    }

    @Test
    void shouldNotRunAPipelinedRequestWhenTheFirstIsInProgress() throws Exception {
        TestTarget.Script script = (request, out) -> TestTarget.write(out, TestTarget.answer(request, 200, "one"));
        try (TestTarget target = new TestTarget(script)) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());

            String answer = gateway.caller()
                    .send(request("q1", "b") + request("q2", "c"))
                    .readAll();

            assertTrue(answer.contains("one"), answer);
            assertEquals("q1", TestTarget.header(target.nextRequest(), "request-id"));
            assertEquals(0, target.unreadRequests());
        }
    }

    @Test
    void shouldRejectARequestWhenHeadOrBodyExceedsItsLimit() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        gateway.entryHosts();

        assertTrue(gateway.caller()
                .send("GET /a/ HTTP/1.1\r\nHost: desk.example\r\nX: " + "x".repeat(5_000) + "\r\n\r\n")
                .readUntil("\r\n\r\n")
                .startsWith("HTTP/1.1 431"));
        assertTrue(gateway.caller()
                .send("POST /a/ HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 10001\r\n\r\n")
                .readUntil("\r\n\r\n")
                .startsWith("HTTP/1.1 413"));
    }

    /**
     * Guards against lost responses at a planned stop: one request is in progress when the stop begins, and another one
     * arrives later. The host must leave the entry host list at once, but keep its port open.
     */
    @Test
    void shouldKeepServingAndLeaveTheEntryHostListWhenStopped() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch answer = new CountDownLatch(1);
        TestTarget.Script script = (request, out) -> {
            received.countDown();
            try {
                answer.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            TestTarget.write(out, TestTarget.answer(request, 200, "whole"));
        };
        try (TestTarget target = new TestTarget(script)) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());
            TestCaller waiting = gateway.caller().send(request("q1", "b"));
            assertTrue(received.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));

            gateway.stop();
            TestCaller late = gateway.caller();
            answer.countDown();

            assertTrue(waiting.readAll().contains("whole"));
            assertTrue(late.send(request("q2", "b")).readAll().contains("whole"));
            assertFalse(gateway.entryHosts().contains("127."));
            gateway.awaitEnded();
        }
    }

    /**
     * Guards against responses truncated at a planned stop: a caller with an old entry host list sends a request
     * seconds after the stop began, and the process terminates before its response is complete.
     */
    @Test
    void shouldStartNoRequestWhenTheRemainingStopTimeIsShort() throws Exception {
        try (TestTarget target = TestTarget.answering("one")) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());
            TestCaller persistent = gateway.caller().send(request("q1", "b"));
            persistent.readUntil("one");

            gateway.stop();
            gateway.awaitEnded();

            assertEquals("", readOrReset(persistent.send(request("q2", "b"))));
            assertEquals(1, target.unreadRequests());
        }
    }

    /**
     * Guards against a response truncated at a planned stop although other requests of its route show that it takes too
     * long.
     */
    @Test
    void shouldStartNoRequestWhenOneOfItsRouteTakesLongerThanTheRemainingTime() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        try (TestTarget target = new TestTarget((request, out) -> {
            if (request.contains("slow")) {
                awaitQuietly(released);
            }
            TestTarget.write(out, TestTarget.answer(request, 200, "one"));
        })) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());
            TestCaller persistent = gateway.caller().send(request("q1", "b"));
            persistent.readUntil("one");
            TestCaller slow = gateway.caller().send(request("slow", "b"));
            Thread.sleep(IN_PROGRESS_MILLIS);

            gateway.stop();
            Thread.sleep(STOP_ELAPSED_MILLIS);
            persistent.send(request("q2", "b"));

            persistent.readUntil("HTTP/1.1 503");
            released.countDown();
            slow.readUntil("one");
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Guards against requests sent where the operator no longer wants them: a newer configuration is in force, and an
     * older one arrives late from a host that was partitioned.
     */
    @Test
    void shouldKeepTheNewerConfigurationWhenAnOlderOneArrivesLate() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1).configure(RouteKind.SAFE, false, 1);
        gateway.putOlderConfiguration(1);

        gateway.configure(RouteKind.SAFE, false, 1);

        assertEquals(3, gateway.configurationVersion());
    }

    @Test
    void shouldLeaveTheEntryHostListWhenAnIntentRetiresThisHost() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        assertTrue(gateway.entryHosts().contains("127."));

        gateway.retire("h1");

        assertFalse(gateway.entryHosts().contains("127."));
    }

    /**
     * Guards against targets that work without a caller: on a delayed host a request and its caller's disconnect are
     * read together, and the request was started before the disconnect was read.
     */
    @Test
    void shouldSendNothingWhenTheCallerDisconnectsBeforeItsRequestIsRead() throws Exception {
        try (TestTarget target = TestTarget.answering("one")) {
            gateway.configure(RouteKind.SAFE, false, 1).target("t1", target.port());
            gateway.caller().send(request("q1", "b")).readUntil("one");

            CountDownLatch blocked = gateway.blockEventLoop();
            gateway.caller().send(request("q2", "b")).close();
            blocked.countDown();
            gateway.linesOf("q2");
            gateway.caller().send(request("q3", "b")).readUntil("one");

            assertEquals("q1", TestTarget.header(target.nextRequest(), "request-id"));
            assertEquals("q3", TestTarget.header(target.nextRequest(), "request-id"));
        }
    }

    private static String readOrReset(TestCaller caller) throws IOException {
        try {
            return caller.readAll();
        } catch (SocketException e) {
            return "";
        }
    }

    /**
     * Guards against callers that wait for a crashed target until their deadline: the target crashes without a
     * connection reset and restarts under the same identifier. Requests at the previous incarnation kept waiting, and
     * its connections were reused for the new one.
     */
    @Test
    void shouldFailRequestsAsUnknownWhenTheirTargetRestarts() throws Exception {
        try (TestTarget previous = new TestTarget((request, out) -> {});
                TestTarget restarted = TestTarget.answering("later")) {
            gateway.configure(RouteKind.UNSAFE, false, 1);
            gateway.registerTarget(new TargetIncarnation("t1", 1_000), previous.port());
            gateway.awaitTargets(1);
            TestCaller waiting = gateway.caller().send(request("q1", "b"));
            previous.nextRequest();

            gateway.registerTarget(new TargetIncarnation("t1", 2_000), restarted.port());

            assertTrue(waiting.readUntil("\r\n\r\n").startsWith("HTTP/1.1 502"));
            assertTrue(
                    gateway.caller().send(request("q2", "b")).readUntil("later").startsWith("HTTP/1.1 200"));
        }
    }

    /**
     * Guards against a log line per second and requests to a wrong target: another writer repeatedly writes an
     * unreadable entry, and the target's own next entry is readable. Each unreadable entry was logged, or the previous
     * entry stayed in use.
     */
    @Test
    void shouldLogAnUnreadableEntryOnceAndUseTheNextReadableOne() throws Exception {
        try (TestTarget target = TestTarget.answering("done")) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());
            gateway.putUnreadableTarget("t1");
            gateway.putUnreadableTarget("t1");
            gateway.awaitUnreadable(2);

            assertTrue(gateway.caller()
                    .send(request("q1", "b"))
                    .readUntil("\r\n\r\n")
                    .startsWith("HTTP/1.1 503"));
            gateway.registerTarget(new TargetIncarnation("t1", 0), target.port());
            gateway.target("t2", target.port());
            assertTrue(
                    gateway.caller().send(request("q2", "b")).readUntil("done").startsWith("HTTP/1.1 200"));
            assertEquals(1, gateway.countLogged("\"event\":\"item_unreadable\""));
        }
    }
}
