package org.rattanplank.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests resumable streams whose target falls silent after they have begun. */
@Timeout(60)
class SilentStreamFlowTest {
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";
    private static final String WHOLE_STREAM = FIRST_EVENT + SECOND_EVENT;

    /** Longer than a target may be silent before another one is asked. */
    private static final long SILENT_MILLIS = 2_500;

    /** Shorter and longer than another target may take to reject the stream. */
    private static final long SHORT_MILLIS = 100;

    private static final long LONG_MILLIS = 1_000;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private final TestGateway gateway;

    /** The requests that have arrived at both targets. */
    private final AtomicInteger arrivals = new AtomicInteger();

    SilentStreamFlowTest() throws IOException {
        gateway = new TestGateway();
        resources.add(gateway);
        gateway.configure(RouteKind.STREAM, true, 2);
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : resources) {
            each.close();
        }
    }

    /** Adds two targets; the one that gets the request first begins the stream, the other one is asked to continue it. */
    private List<TestTarget> addTargets(TestTarget.Script first, TestTarget.Script second) throws IOException {
        List<TestTarget> targets = new ArrayList<>();
        for (String id : List.of("t1", "t2")) {
            TestTarget target = new TestTarget((request, out) -> {
                TestTarget.Script script = arrivals.getAndIncrement() == 0 ? first : second;
                script.serve(request, out);
            });
            targets.add(target);
            resources.add(target);
            gateway.registerTarget(new TargetIncarnation(id, 0), target.port());
        }
        gateway.awaitTargets(2);
        return targets;
    }

    private String send() throws IOException {
        return gateway.caller()
                .send("POST /a/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nRequest-Id: q"
                        + "\r\nTokens: 100,50\r\nTime-Left: 8000\r\nContent-Length: 1\r\n\r\nx")
                .readAll();
    }

    private static void beginStream(String request, OutputStream out) throws IOException {
        TestTarget.write(out, TestTarget.streamHead(request) + TestTarget.chunk(FIRST_EVENT));
    }

    private static void endStream(OutputStream out) throws IOException {
        TestTarget.write(out, TestTarget.chunk(SECOND_EVENT) + LAST_CHUNK);
    }

    private static void pause(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            if (!latch.await(20, TimeUnit.SECONDS)) {
                throw new IOException("the other target was not asked");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static void goOnAfterSilence(String request, OutputStream out) throws IOException {
        beginStream(request, out);
        pause(SILENT_MILLIS);
        endStream(out);
    }

    private static void continueLater(String request, OutputStream out, long millis) throws IOException {
        pause(millis);
        TestTarget.write(out, TestTarget.streamHead(request));
        endStream(out);
    }

    private static void reject(String request, OutputStream out) throws IOException {
        TestTarget.write(
                out, TestTarget.answer(request, 503, "").replace("Content-Length", "Not-Run: 1\r\nContent-Length"));
    }

    private void assertWhole(String answer) {
        TestResponse response = TestResponse.parse(answer);
        assertEquals(new TestResponse("200", true, WHOLE_STREAM), response, answer);
    }

    /** Guards against a stream that is taken from its silent target and cut, as the other target is full. */
    @Test
    void shouldAwaitTheSilentTargetWhenTheOtherOneRejectsTheStream() throws Exception {
        addTargets(SilentStreamFlowTest::goOnAfterSilence, SilentStreamFlowTest::reject);

        String answer = send();

        assertWhole(answer);
        assertTrue(arrivals.get() > 1, "the other target was not asked");
    }

    /** Guards against a stream that is cut as its other target fails it while its own one is only silent. */
    @Test
    void shouldAwaitTheSilentTargetWhenTheOtherOneClosesTheConnection() throws Exception {
        addTargets(SilentStreamFlowTest::goOnAfterSilence, (request, out) -> {
            throw new IOException("connection closed by the test");
        });

        assertWhole(send());
    }

    /** Guards against a stream that stays with a silent target though another one continues it. */
    @Test
    void shouldContinueTheStreamWhenTheOtherTargetAcceptsIt() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        List<TestTarget> targets = addTargets(
                (request, out) -> {
                    beginStream(request, out);
                    await(over);
                },
                (request, out) -> {
                    assertEquals("1", TestTarget.header(request, "last-event-id"));
                    TestTarget.write(out, TestTarget.streamHead(request));
                    endStream(out);
                });

        assertWhole(send());
        over.countDown();
        targets.get(0).nextRequest();
        targets.get(1).nextRequest();
    }

    /** Guards against a stream that waits for its silent target while the other one takes long to begin. */
    @Test
    void shouldContinueTheStreamWhenTheOtherTargetBeginsLate() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        addTargets(
                (request, out) -> {
                    beginStream(request, out);
                    await(over);
                },
                (request, out) -> continueLater(request, out, LONG_MILLIS));

        assertWhole(send());
        over.countDown();
    }

    /** Guards against events of two runs in one stream, as the silent target goes on when the other one has been asked. */
    @Test
    void shouldDeliverEachEventOnceWhenTheSilentTargetGoesOnMeanwhile() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        addTargets(
                (request, out) -> {
                    beginStream(request, out);
                    await(asked);
                    endStream(out);
                },
                (request, out) -> {
                    asked.countDown();
                    continueLater(request, out, SHORT_MILLIS);
                });

        assertWhole(send());
    }

    /** Guards against a stream that is lost as its silent target breaks it off while the other one is asked. */
    @Test
    void shouldContinueTheStreamWhenTheSilentTargetBreaksItOffMeanwhile() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        addTargets(
                (request, out) -> {
                    beginStream(request, out);
                    await(asked);
                    throw new IOException("connection closed by the test");
                },
                (request, out) -> {
                    asked.countDown();
                    continueLater(request, out, SHORT_MILLIS);
                });

        assertWhole(send());
    }
}
