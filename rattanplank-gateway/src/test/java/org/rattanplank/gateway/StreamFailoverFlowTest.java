package org.rattanplank.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;
import org.rattanplank.gateway.target.AttemptFailure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests streams that must not run again and whose engine fails. */
@Timeout(60)
class StreamFailoverFlowTest {
    private static final String BEGIN = TestTarget.chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    private static final String END = "0\r\n\r\n";

    /** Longer than an engine may be silent before its backup is asked. */
    private static final long SILENCE_NANOS = 2_500_000_000L;

    private static final long EVENT_GAP_NANOS = 50_000_000;

    private TestGateway gateway;

    @BeforeEach
    void startGateway() throws IOException {
        gateway = new TestGateway();
        gateway.configureModelWithoutResumption();
    }

    @AfterEach
    void closeGateway() {
        gateway.close();
    }

    private static String generation(String id) {
        return "POST /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                + "\r\nTokens: 100,50\r\nTime-Left: 20000\r\nContinue-From: forged\r\nBackup: forged\r\n"
                + "Content-Length: 1\r\n\r\nx";
    }

    /** Returns an engine that crashes in the third event of a stream, and continues streams whose backup it holds. */
    private static TestTarget crashingEngine() throws IOException {
        return new TestTarget((request, out) -> {
            TestTarget.write(out, TestTarget.streamHead(request));
            if (TestTarget.header(request, "continue-from").isEmpty()) {
                TestTarget.write(out, BEGIN);
                throw new IOException("connection closed by the test");
            }
            String last = TestTarget.header(request, "last-event-id");
            TestTarget.write(out, TestTarget.chunk("id: 3\ndata: after " + last + "\n\n") + END);
        });
    }

    /** Returns an engine that crashes after it has sent the beginning of a stream, and holds no backups. */
    private static TestTarget engineWithoutCopies(String begin) throws IOException {
        return new TestTarget((request, out) -> {
            if (TestTarget.header(request, "continue-from").isEmpty()) {
                TestTarget.write(out, begin.isEmpty() ? "" : TestTarget.streamHead(request) + begin);
                throw new IOException("connection closed by the test");
            }
            reject(request, out);
        });
    }

    private static void reject(String request, OutputStream out) throws IOException {
        TestTarget.write(
                out,
                "HTTP/1.1 503 X\r\nRequest-Id: " + TestTarget.header(request, "request-id")
                        + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    }

    private static String address(TestTarget target) {
        return "127.0.0.1:" + target.port();
    }

    /** Returns which of two engines received the first request. */
    private static TestTarget first(TestTarget one, TestTarget other) throws InterruptedException {
        while (one.unreadRequests() + other.unreadRequests() == 0) {
            Thread.onSpinWait();
        }
        return one.unreadRequests() > 0 ? one : other;
    }

    /** Guards against streams that are cut in the middle, though a second engine could continue them. */
    @Test
    void shouldContinueAtTheBackupWhenTheEngineCrashes() throws Exception {
        try (TestTarget one = crashingEngine();
                TestTarget other = crashingEngine()) {
            gateway.target("t1", one.port()).target("t2", other.port());

            TestCaller caller = gateway.caller().send(generation("q1"));
            TestTarget primary = first(one, other);
            TestTarget backup = primary == one ? other : one;
            String begun = primary.nextRequest();
            String continued = backup.nextRequest();
            String answer = caller.readUntil(END).replaceAll("\r\n[0-9a-f]+\r\n", "");

            assertEquals(address(backup), TestTarget.header(begun, "backup"));
            assertEquals("", TestTarget.header(begun, "continue-from"));
            assertEquals(address(backup) + "/q1", TestTarget.header(continued, "continue-from"));
            assertEquals("2", TestTarget.header(continued, "last-event-id"));
            assertTrue(answer.contains("id: 2\ndata: b\n\nid: 3\ndata: after 2\n\n"), answer);
            assertEquals(
                    1,
                    gateway.linesOf("q1").stream()
                            .filter(line -> line.contains("\"event\":\"failed_over\""))
                            .count());
        }
    }

    /** Guards against streams that end at their caller's time-out, as their engine keeps the connection and is silent. */
    @Test
    void shouldContinueAtTheBackupWhenTheEngineFallsSilent() throws Exception {
        CountDownLatch testEnded = new CountDownLatch(1);
        TestTarget.Script script = (request, out) -> {
            TestTarget.write(out, TestTarget.streamHead(request));
            if (TestTarget.header(request, "continue-from").isEmpty()) {
                TestTarget.write(out, BEGIN);
                awaitQuietly(testEnded);
            } else {
                TestTarget.write(out, TestTarget.chunk("id: 3\ndata: c\n\n") + END);
            }
        };
        try (TestTarget one = new TestTarget(script);
                TestTarget other = new TestTarget(script)) {
            gateway.target("t1", one.port()).target("t2", other.port());

            String answer = gateway.caller().send(generation("q1")).readUntil(END);

            assertTrue(answer.contains("id: 3\ndata: c\n\n"), answer);
        } finally {
            testEnded.countDown();
        }
    }

    /** Guards against a stream that is taken from its silent engine and cut, as its backup holds no copy. */
    @Test
    void shouldAwaitTheSilentEngineWhenTheBackupHasNoCopy() throws Exception {
        TestTarget.Script script = (request, out) -> {
            if (TestTarget.header(request, "continue-from").isEmpty()) {
                TestTarget.write(out, TestTarget.streamHead(request) + BEGIN);
                LockSupport.parkNanos(SILENCE_NANOS);
                TestTarget.write(out, TestTarget.chunk("ta: c\n\n") + END);
            } else {
                reject(request, out);
            }
        };
        try (TestTarget one = new TestTarget(script);
                TestTarget other = new TestTarget(script)) {
            gateway.target("t1", one.port()).target("t2", other.port());

            String answer = gateway.caller().send(generation("q1")).readUntil(END);

            assertTrue(answer.contains("id: 3\ndata: c\n\n"), answer);
            assertEquals(1, one.unreadRequests(), "one");
            assertEquals(1, other.unreadRequests(), "other");
        }
    }

    /** Guards against events of two engines in one stream, as the silent one goes on when its backup has been asked. */
    @Test
    void shouldDeliverEachEventOnceWhenTheSilentEngineGoesOnMeanwhile() throws Exception {
        CountDownLatch backupAsked = new CountDownLatch(1);
        TestTarget.Script script = (request, out) -> {
            if (TestTarget.header(request, "continue-from").isEmpty()) {
                TestTarget.write(out, TestTarget.streamHead(request) + BEGIN);
                awaitQuietly(backupAsked);
                TestTarget.write(out, TestTarget.chunk("ta: c\n\n") + END);
            } else {
                backupAsked.countDown();
                LockSupport.parkNanos(2 * EVENT_GAP_NANOS);
                TestTarget.write(out, TestTarget.streamHead(request) + TestTarget.chunk("id: 3\ndata: d\n\n") + END);
            }
        };
        try (TestTarget one = new TestTarget(script);
                TestTarget other = new TestTarget(script)) {
            gateway.target("t1", one.port()).target("t2", other.port());

            String answer = gateway.caller().send(generation("q1")).readUntil(END);

            assertTrue(answer.contains("id: 3\ndata: c\n\n"), answer);
            assertFalse(answer.contains("data: d"), answer);
        }
    }

    /** Guards against a second run: a backup without a copy refuses the stream, which must not be sent anywhere else. */
    @Test
    void shouldTruncateTheStreamWhenTheBackupHasNoCopy() throws Exception {
        try (TestTarget one = engineWithoutCopies(BEGIN);
                TestTarget other = engineWithoutCopies(BEGIN);
                TestTarget third = engineWithoutCopies(BEGIN)) {
            gateway.target("t1", one.port()).target("t2", other.port()).target("t3", third.port());

            String answer = gateway.caller().send(generation("q1")).readAll();

            assertTrue(answer.contains("data: b"), answer);
            assertFalse(answer.endsWith(END), answer);
            assertEquals(2, one.unreadRequests() + other.unreadRequests() + third.unreadRequests());
        }
    }

    /** Guards against broken streams of which nobody can tell why their backup was of no use. */
    @Test
    void shouldLogTheBackupWhenItIsLeaving() throws Exception {
        CountDownLatch backupLeft = new CountDownLatch(1);
        TestTarget.Script script = (request, out) -> {
            TestTarget.write(out, TestTarget.streamHead(request) + BEGIN);
            awaitQuietly(backupLeft);
            throw new IOException("connection closed by the test");
        };
        try (TestTarget one = new TestTarget(script);
                TestTarget other = new TestTarget(script)) {
            gateway.target("t1", one.port()).target("t2", other.port());

            TestCaller caller = gateway.caller().send(generation("q1"));
            caller.readUntil("data: b");
            gateway.removeTarget(first(one, other) == one ? "t2" : "t1");
            gateway.awaitTargets(1);
            backupLeft.countDown();
            caller.readAll();

            assertTrue(
                    gateway.linesOf("q1").stream()
                            .anyMatch(line -> line.contains("\"event\":\"not_failed_over\"")
                                    && line.contains("\"backupUsable\":false")),
                    () -> gateway.linesOf("q1").toString());
        }
    }

    /** Guards against a request that brings down its engine, and then the engine of its backup. */
    @Test
    void shouldNotContinueAtTheBackupWhenNoEventWasReceived() throws Exception {
        try (TestTarget one = engineWithoutCopies("");
                TestTarget other = engineWithoutCopies("")) {
            gateway.target("t1", one.port()).target("t2", other.port());

            String answer = gateway.caller().send(generation("q1")).readUntil("\r\n\r\n");

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertEquals(1, one.unreadRequests() + other.unreadRequests());
        }
    }

    /** Guards against forwarded streams that have no backup, or receive the events of a broken attempt twice. */
    @Test
    void shouldContinueAForwardedStreamAtTheBackupWhenTheEngineCrashes() throws Exception {
        try (TestTarget one = crashingEngine();
                TestTarget other = crashingEngine();
                TestPeer peer = gateway.peer()) {
            gateway.target("t1", one.port()).target("t2", other.port());

            peer.sendRequest("q1", 10_000, peer.await(PeerFrame.State.class));
            StringBuilder events = new StringBuilder();
            while (!events.toString().contains("after 2\n\n")) {
                byte[] chunk = peer.await(PeerFrame.ResponseChunk.class).bytes();
                events.append(new String(chunk, StandardCharsets.ISO_8859_1));
            }
            peer.await(PeerFrame.ResponseEnd.class);

            assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: after 2\n\n", events.toString());
        }
    }

    /** Guards against streams that are cut because the host of another region that served them has lost power. */
    @Test
    void shouldContinueThroughAnotherHostWhenTheForwardingHostIsLost() throws Exception {
        try (TestPeer lost = gateway.peer("h8");
                TestPeer other = gateway.peer("h9")) {
            lost.reportRegionLoad("desk");
            lost.reportIdle(false);
            gateway.awaitReceived(lost.sentBytes());
            TestCaller caller = gateway.caller().send(generation("q1"));
            long call = lost.await(PeerFrame.CallRequest.class).call();
            lost.sendStream(call, "t8", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            caller.readUntil("data: b");
            other.reportIdle(false);
            other.framesUntilEchoed();

            lost.close();
            PeerFrame.FailoverRequest continued = other.await(PeerFrame.FailoverRequest.class);
            other.sendStream(continued.request().call(), "", "id: 3\ndata: c\n\n");
            other.sendEnd(continued.request().call());
            String rest = caller.readUntil(END);

            assertEquals("t8", continued.backup());
            assertEquals("2", continued.request().lastEventId());
            assertTrue(rest.contains("id: 3\ndata: c\n\n"), rest);
        }
    }

    /**
     * Guards against streams that are cut because the host of another region that served them has reached the end of
     * its planned stop, though one that is lost is replaced by another.
     */
    @Test
    void shouldContinueThroughAnotherHostWhenTheForwardingHostTerminates() throws Exception {
        try (TestPeer stopping = gateway.peer("h8");
                TestPeer other = gateway.peer("h9")) {
            stopping.reportRegionLoad("desk");
            stopping.reportIdle(false);
            gateway.awaitReceived(stopping.sentBytes());
            TestCaller caller = gateway.caller().send(generation("q1"));
            long call = stopping.await(PeerFrame.CallRequest.class).call();
            stopping.sendStream(call, "t8", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            caller.readUntil("data: b");
            other.reportIdle(false);
            other.framesUntilEchoed();

            stopping.sendLeaving(call);
            stopping.sendFailure(call, AttemptFailure.INTERRUPTED);
            PeerFrame.FailoverRequest continued = other.await(PeerFrame.FailoverRequest.class);
            other.sendStream(continued.request().call(), "", "id: 3\ndata: c\n\n");
            other.sendEnd(continued.request().call());
            String rest = caller.readUntil(END);

            assertEquals("t8", continued.backup());
            assertEquals("2", continued.request().lastEventId());
            assertTrue(rest.contains("id: 3\ndata: c\n\n"), rest);
        }
    }

    /** Guards against the same at the host that stops: it must tell that the backup of the stream is still of use. */
    @Test
    void shouldReportAForwardedStreamAsInterruptedWhenTheHostTerminates() throws Exception {
        CountDownLatch testEnded = new CountDownLatch(1);
        TestTarget.Script script = (request, out) -> {
            TestTarget.write(out, TestTarget.streamHead(request));
            for (int id = 1; testEnded.getCount() > 0; id++) {
                TestTarget.write(out, TestTarget.chunk("id: " + id + "\ndata: a\n\n"));
                LockSupport.parkNanos(EVENT_GAP_NANOS);
            }
        };
        try (TestTarget one = new TestTarget(script);
                TestTarget other = new TestTarget(script);
                TestPeer peer = gateway.peer()) {
            gateway.target("t1", one.port()).target("t2", other.port());
            peer.reportIdle(false);
            peer.sendRequest("q1", 10_000, peer.await(PeerFrame.State.class));
            peer.await(PeerFrame.ResponseChunk.class);

            gateway.requestStop();

            assertEquals(
                    AttemptFailure.INTERRUPTED.name(),
                    peer.await(PeerFrame.CallFailed.class).failure());
        } finally {
            testEnded.countDown();
        }
    }

    /** Guards against a second run: nothing but its backup may continue a stream, also when that is not available. */
    @Test
    void shouldTruncateTheStreamWhenTheOtherHostCannotContinueIt() throws Exception {
        try (TestPeer lost = gateway.peer("h8");
                TestTarget target = crashingEngine()) {
            lost.reportRegionLoad("desk");
            lost.reportIdle(false);
            gateway.awaitReceived(lost.sentBytes());
            TestCaller caller = gateway.caller().send(generation("q1"));
            long call = lost.await(PeerFrame.CallRequest.class).call();
            lost.sendStream(call, "t8", "id: 1\ndata: a\n\n");
            caller.readUntil("data: a");
            gateway.target("t1", target.port());

            lost.close();
            String rest = caller.readAll();

            assertFalse(rest.endsWith(END), rest);
            assertEquals(0, target.unreadRequests());
        }
    }

    /** Guards against a failover that is taken for a new request at the host that is to continue the stream. */
    @Test
    void shouldSendAForwardedFailoverOnlyToTheBackup() throws Exception {
        try (TestTarget one = crashingEngine();
                TestTarget other = crashingEngine();
                TestPeer peer = gateway.peer()) {
            gateway.target("t1", one.port()).target("t2", other.port());

            peer.sendFailover("q1", peer.await(PeerFrame.State.class), "2", "t2");
            peer.await(PeerFrame.ResponseEnd.class);
            String request = other.nextRequest();

            assertEquals(address(other) + "/q1", TestTarget.header(request, "continue-from"));
            assertEquals("2", TestTarget.header(request, "last-event-id"));
            assertEquals(0, one.unreadRequests());
        }
    }

    @Test
    void shouldRejectAForwardedFailoverWhenTheBackupIsUnknown() throws Exception {
        try (TestTarget one = crashingEngine();
                TestPeer peer = gateway.peer()) {
            gateway.target("t1", one.port());

            peer.sendFailover("q1", peer.await(PeerFrame.State.class), "2", "t2");
            peer.await(PeerFrame.CallFailed.class);

            assertEquals(0, one.unreadRequests());
        }
    }

    /** Guards against "not run" for a forwarded stream that has run at the first engine. */
    @Test
    void shouldReportAForwardedStreamAsUnknownWhenTheBackupRejectsIt() throws Exception {
        try (TestTarget one = engineWithoutCopies(BEGIN);
                TestTarget other = engineWithoutCopies(BEGIN);
                TestPeer peer = gateway.peer()) {
            gateway.target("t1", one.port()).target("t2", other.port());

            peer.sendRequest("q1", 10_000, peer.await(PeerFrame.State.class));

            assertEquals(
                    AttemptFailure.UNKNOWN.name(),
                    peer.await(PeerFrame.CallFailed.class).failure());
            assertEquals(2, one.unreadRequests() + other.unreadRequests());
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
