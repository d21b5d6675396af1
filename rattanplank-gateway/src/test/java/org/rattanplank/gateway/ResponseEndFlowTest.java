package org.rattanplank.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests responses that have no length, and whose target closes its port: one that shuts down in order ends them whole, one
 * whose process ends cuts them, both at the end of an event.
 */
@Timeout(60)
class ResponseEndFlowTest {
    private static final int RESPONSES = 6;
    private static final String FIRST_REQUEST = "first";
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";
    private static final long PORT_CLOSED_MILLIS = 300;
    private static final long BETWEEN_ENDS_MILLIS = 200;

    /** Long enough for a target that isn't known to leave to be checked. */
    private static final long LONG_PORT_CLOSED_MILLIS = 2_000;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private TestGateway entry;
    private TestGateway serving;

    @AfterEach
    void close() throws Exception {
        callers.shutdownNow();
        for (AutoCloseable each : resources) {
            each.close();
        }
    }

    /** What the responses are, and of which kind the route is. */
    private enum Form {
        STREAM(RouteKind.STREAM, false),
        RESUMABLE_STREAM(RouteKind.STREAM, true),
        UNSAFE(RouteKind.UNSAFE, false),
        SAFE(RouteKind.SAFE, false);

        private final RouteKind kind;
        private final boolean resumable;

        Form(RouteKind kind, boolean resumable) {
            this.kind = kind;
            this.resumable = resumable;
        }

        boolean isStream() {
            return kind == RouteKind.STREAM;
        }

        /** Sends what comes before a response's end is due; of a plain one that is nothing. */
        void begin(String request, String headers, OutputStream out) throws IOException {
            if (isStream()) {
                TestTarget.write(out, head(request, headers) + FIRST_EVENT);
            }
        }

        void end(String request, String headers, OutputStream out) throws IOException {
            TestTarget.write(out, isStream() ? SECOND_EVENT : head(request, headers) + "done");
        }

        private String head(String request, String headers) {
            String contentType = isStream() ? TestTarget.EVENT_STREAM : "text/plain";
            return TestTarget.closeDelimitedHead(request, contentType)
                    .replace("Connection: close\r\n", "Connection: close\r\n" + headers);
        }
    }

    /** How a gateway learns that a target leaves. */
    private enum Announcement {
        ENTRY,
        HEADER {
            @Override
            String headers() {
                return "Leaving: 1\r\n";
            }
        },
        REMOVAL,
        NONE;

        String headers() {
            return "";
        }
    }

    /** A target that ends its responses when it is told to. */
    private final class ScriptedTarget {
        private final CountDownLatch arrived;
        private final Semaphore begun = new Semaphore(0);
        private final Semaphore mayEnd = new Semaphore(0);
        private final Semaphore ended = new Semaphore(0);
        private final TestTarget target;
        private final String id;

        ScriptedTarget(String id, Form form, Announcement announcement, int requests) throws IOException {
            this.id = id;
            arrived = new CountDownLatch(requests);
            target = new TestTarget((request, out) -> {
                if (TestTarget.header(request, "request-id").equals(FIRST_REQUEST)) {
                    TestTarget.write(out, TestTarget.answer(request, 200, "done"));
                    return;
                }
                arrived.countDown();
                if (announcement == Announcement.HEADER) {
                    // A target whose answer has said that it leaves gets no more requests.
                    awaitArrivals();
                }
                form.begin(request, announcement.headers(), out);
                begun.release();
                mayEnd.acquireUninterruptibly();
                form.end(request, announcement.headers(), out);
                ended.release();
                throw new IOException("connection closed by the test");
            });
            resources.add(target);
            serving.registerTarget(new TargetIncarnation(id, 0), target.port());
        }

        void announce(Announcement announcement) {
            if (announcement == Announcement.ENTRY) {
                serving.registerLeavingTarget(id, target.port());
            } else if (announcement == Announcement.REMOVAL) {
                serving.removeTarget(id);
            }
        }

        private void awaitArrivals() throws IOException {
            try {
                arrived.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        /** Sends requests, and waits until their responses have begun. */
        List<Future<TestResponse>> begin(int requests) throws InterruptedException {
            List<Future<TestResponse>> responses = sendAll(requests);
            assertTrue(begun.tryAcquire(requests, 20, TimeUnit.SECONDS), "the responses haven't begun");
            return responses;
        }

        void closePort() throws IOException {
            target.crash();
        }

        /** Ends responses whole, one after the other, long after the port was closed. */
        void endInOrder(int responses) throws InterruptedException {
            pause(PORT_CLOSED_MILLIS);
            for (int i = 0; i < responses; i++) {
                mayEnd.release();
                pause(BETWEEN_ENDS_MILLIS);
            }
        }

        /** Ends all responses together, as a process does that ends. */
        void endAtOnce(int responses) throws InterruptedException {
            mayEnd.release(responses);
            assertTrue(ended.tryAcquire(responses, 20, TimeUnit.SECONDS), "the responses haven't ended");
        }
    }

    private static void pause(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    private void startDirect(Form form) throws IOException {
        serving = gateway("h1", "suva", form);
        entry = serving;
    }

    private void startForwarding(Form form) throws IOException {
        entry = gateway("h1", "suva", form);
        serving = gateway("h2", "labasa", form);
        entry.connect(serving);
    }

    private TestGateway gateway(String name, String region, Form form) throws IOException {
        TestGateway gateway = new TestGateway(name, region);
        resources.add(gateway);
        return gateway.configure(form.kind, form.resumable, 1);
    }

    private ScriptedTarget addTarget(Form form, Announcement announcement, int requests) throws IOException {
        ScriptedTarget target = new ScriptedTarget("t", form, announcement, requests);
        serving.awaitTargets(1);
        return target;
    }

    private TestResponse send(String id) throws IOException {
        try (TestCaller caller = entry.caller()) {
            caller.send("POST /a/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nRequest-Id: " + id
                    + "\r\nTokens: 100,50\r\nTime-Left: 8000\r\nContent-Length: 1\r\n\r\nx");
            return TestResponse.parse(caller.readAll());
        }
    }

    private List<Future<TestResponse>> sendAll(int count) {
        List<Future<TestResponse>> responses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = "q" + i;
            responses.add(callers.submit(() -> send(id)));
        }
        return responses;
    }

    private static int countWhole(List<Future<TestResponse>> responses) throws Exception {
        int whole = 0;
        for (Future<TestResponse> each : responses) {
            TestResponse response = each.get();
            if (response.status().equals("200") && response.complete()) {
                whole++;
            }
        }
        return whole;
    }

    private void checkOrderlyEnd(Form form, Announcement announcement) throws Exception {
        ScriptedTarget target = addTarget(form, announcement, RESPONSES);
        entry.awaitServed(() -> send(FIRST_REQUEST).status().equals("200"));
        List<Future<TestResponse>> responses = target.begin(RESPONSES);

        target.announce(announcement);
        target.closePort();
        target.endInOrder(RESPONSES);

        assertEquals(RESPONSES, countWhole(responses));
    }

    /** Guards against whole responses that are cut for their callers because their leaving target has closed its port. */
    @ParameterizedTest
    @CsvSource({
        "STREAM, ENTRY",
        "STREAM, HEADER",
        "STREAM, REMOVAL",
        "STREAM, NONE",
        "RESUMABLE_STREAM, NONE",
        "UNSAFE, NONE",
        "UNSAFE, ENTRY",
        "SAFE, NONE"
    })
    void shouldDeliverWholeResponsesWhenTheirTargetClosesItsPortAndGoesOn(Form form, Announcement announcement)
            throws Exception {
        startDirect(form);

        checkOrderlyEnd(form, announcement);
    }

    /** Guards against forwarded whole responses that are cut because their leaving target has closed its port. */
    @ParameterizedTest
    @EnumSource(Form.class)
    void shouldDeliverWholeForwardedResponsesWhenTheirTargetClosesItsPortAndGoesOn(Form form) throws Exception {
        startForwarding(form);

        checkOrderlyEnd(form, Announcement.NONE);
    }

    /** Guards against a whole stream that is cut because nothing else goes on at its target when it ends. */
    @ParameterizedTest
    @EnumSource(Announcement.class)
    void shouldDeliverAWholeStreamWhenItIsTheOnlyOneOfATargetThatHasClosedItsPort(Announcement announcement)
            throws Exception {
        startDirect(Form.STREAM);
        ScriptedTarget target = addTarget(Form.STREAM, announcement, 1);
        List<Future<TestResponse>> responses = target.begin(1);

        target.announce(announcement);
        target.closePort();
        pause(LONG_PORT_CLOSED_MILLIS);
        target.endAtOnce(1);

        assertEquals(1, countWhole(responses));
    }

    /** Guards against a whole stream that is cut because its leaving target closes its port just before it ends. */
    @ParameterizedTest
    @EnumSource(names = {"ENTRY", "HEADER"})
    void shouldDeliverAWholeStreamWhenItsLeavingTargetClosesItsPortJustBefore(Announcement announcement)
            throws Exception {
        startDirect(Form.STREAM);
        ScriptedTarget target = addTarget(Form.STREAM, announcement, 1);
        List<Future<TestResponse>> responses = target.begin(1);
        target.announce(announcement);
        pause(LONG_PORT_CLOSED_MILLIS);

        target.closePort();
        target.endAtOnce(1);

        assertEquals(1, countWhole(responses));
    }

    /** Guards against a whole plain response that is cut because its target had closed its port before its head came. */
    @Test
    void shouldDeliverAWholePlainResponseWhenItIsTheOnlyOneOfALeavingTargetThatHasClosedItsPort() throws Exception {
        startDirect(Form.UNSAFE);
        ScriptedTarget target = addTarget(Form.UNSAFE, Announcement.ENTRY, 1);
        List<Future<TestResponse>> earlier = target.begin(1);
        target.endAtOnce(1);
        assertEquals(1, countWhole(earlier));
        pause(PORT_CLOSED_MILLIS);
        List<Future<TestResponse>> responses = target.begin(1);

        target.announce(Announcement.ENTRY);
        target.closePort();
        pause(LONG_PORT_CLOSED_MILLIS);
        target.endAtOnce(1);

        assertEquals(1, countWhole(responses));
    }

    /** Guards against responses that pass for whole though their target's process ended with them, its port first. */
    @ParameterizedTest
    @CsvSource({
        "STREAM, NONE",
        "STREAM, ENTRY",
        "STREAM, HEADER",
        "RESUMABLE_STREAM, NONE",
        "RESUMABLE_STREAM, ENTRY",
        "UNSAFE, NONE",
        "UNSAFE, ENTRY",
        "SAFE, NONE",
        "SAFE, ENTRY"
    })
    void shouldFailResponsesWhenTheProcessOfTheirTargetEnds(Form form, Announcement announcement) throws Exception {
        startDirect(form);
        ScriptedTarget target = addTarget(form, announcement, RESPONSES);
        List<Future<TestResponse>> responses = target.begin(RESPONSES);

        target.announce(announcement);
        target.closePort();
        target.endAtOnce(RESPONSES);

        assertEquals(0, countWhole(responses));
    }

    /** Guards against responses that pass for whole because the port of their ended target accepts a moment longer. */
    @ParameterizedTest
    @CsvSource({
        "STREAM, NONE, 5",
        "STREAM, NONE, 20",
        "STREAM, NONE, 60",
        "STREAM, ENTRY, 20",
        "RESUMABLE_STREAM, NONE, 20",
        "UNSAFE, NONE, 20",
        "UNSAFE, ENTRY, 60",
        "SAFE, NONE, 20"
    })
    void shouldFailResponsesWhenThePortOfTheirEndedTargetIsClosedLater(
            Form form, Announcement announcement, long portOpenMillis) throws Exception {
        startDirect(form);
        ScriptedTarget target = addTarget(form, announcement, RESPONSES);
        List<Future<TestResponse>> responses = target.begin(RESPONSES);

        target.announce(announcement);
        target.endAtOnce(RESPONSES);
        pause(portOpenMillis);
        target.closePort();

        assertEquals(0, countWhole(responses));
    }

    /** Guards against responses that pass for whole because their target, which was killed, had closed its port before. */
    @Test
    void shouldFailResponsesWhenATargetThatHasClosedItsPortIsKilled() throws Exception {
        startDirect(Form.STREAM);
        ScriptedTarget target = addTarget(Form.STREAM, Announcement.ENTRY, RESPONSES);
        List<Future<TestResponse>> responses = target.begin(RESPONSES);

        target.announce(Announcement.ENTRY);
        target.closePort();
        pause(LONG_PORT_CLOSED_MILLIS);
        target.endAtOnce(RESPONSES);

        assertEquals(0, countWhole(responses));
    }

    /** Guards against a sound request that is quarantined because targets which ended it whole had closed their ports. */
    @Test
    void shouldServeARequestWhenTargetsThatEndedItWholeHadClosedTheirPorts() throws Exception {
        startDirect(Form.UNSAFE);
        for (int i = 0; i < RESPONSES; i++) {
            ScriptedTarget leaving = new ScriptedTarget("t" + i, Form.UNSAFE, Announcement.NONE, 2);
            serving.awaitTargets(i + 1);
            List<Future<TestResponse>> responses = leaving.begin(2);
            leaving.closePort();
            leaving.endInOrder(2);
            assertEquals(2, countWhole(responses));
            leaving.announce(Announcement.ENTRY);
        }
        TestTarget sound = TestTarget.answering("done");
        resources.add(sound);
        serving.registerTarget(new TargetIncarnation("sound", 0), sound.port());
        serving.awaitTargets(RESPONSES + 1);

        assertEquals("200", send("q").status());
    }
}
