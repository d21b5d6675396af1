package org.rattanplank.gateway;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that a target which rejects a request and names a time gets no request from the host for that time. */
@Timeout(60)
class TargetPauseFlowTest {
    private static final int REQUESTS = 20;

    /** Longer than the test lasts. */
    private static final int PAUSE_SECONDS = 300;

    private static final String REJECTION = "503 X\r\nNot-Run: 1\r\nRetry-After: ";

    private final AtomicInteger arrivals = new AtomicInteger();
    private volatile String head = REJECTION + PAUSE_SECONDS;
    private TestGateway gateway;
    private TestTarget target;

    @BeforeEach
    void start() throws IOException {
        gateway = new TestGateway();
        target = new TestTarget((request, out) -> {
            arrivals.incrementAndGet();
            TestTarget.write(out, TestTarget.answer(request, 200, "done").replace("200 X", head));
        });
    }

    @AfterEach
    void close() throws IOException {
        target.close();
        gateway.close();
    }

    /** Guards against requests that pile up at a target which has asked for a pause, instead of going to another one. */
    @ParameterizedTest
    @ValueSource(strings = {REJECTION + PAUSE_SECONDS, "503 X\r\nRetry-After: " + PAUSE_SECONDS})
    void shouldSendToAnotherTargetWhenOneHasAskedForAPause(String rejection) throws IOException {
        head = rejection;
        try (TestTarget other = TestTarget.answering("done")) {
            gateway.configure(RouteKind.SAFE, false, 2).target("t1", target.port());
            request(0);
            gateway.target("t2", other.port());

            for (int i = 1; i <= REQUESTS; i++) {
                assertTrue(request(i).startsWith("HTTP/1.1 200"));
            }
        }

        assertEquals(1, arrivals.get());
    }

    /** Guards against callers that are sent back to a pause, or wait for it, where no other target can serve them. */
    @Test
    void shouldRejectUntilThePauseEndsWhenEveryTargetHasAskedForOne() throws IOException {
        gateway.configure(RouteKind.UNSAFE, false, 2).target("t1", target.port());

        for (int i = 0; i < REQUESTS; i++) {
            String answer = request(i);
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(retryAfterSeconds(answer) > PAUSE_SECONDS / 2.0, answer);
        }

        assertEquals(1, arrivals.get());
    }

    /** Guards against a pause that is lost as the entry of its target is written again. */
    @Test
    void shouldKeepThePauseWhenTheEntryOfTheTargetIsWrittenAgain() throws IOException {
        gateway.configure(RouteKind.UNSAFE, false, 2).target("t1", target.port());
        request(0);
        gateway.registerTarget(new TargetIncarnation("t1", 0), target.port());
        gateway.putBytes("marker", 1);
        gateway.awaitUnreadable(1);

        request(1);

        assertEquals(1, arrivals.get());
    }

    /** Guards against a target that gets nothing any more although its pause is over. */
    @Test
    void shouldSendAgainWhenThePauseIsOver() throws Exception {
        head = REJECTION + "0.3";
        gateway.configure(RouteKind.SAFE, false, 1).target("t1", target.port());
        request(0);
        head = "200 X";

        gateway.awaitServed(() -> request(1).startsWith("HTTP/1.1 200"));
    }

    private static double retryAfterSeconds(String answer) {
        return Double.parseDouble(TestTarget.header(answer, "retry-after"));
    }

    private String request(int number) throws IOException {
        return gateway.caller()
                .send("POST /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q" + number
                        + "\r\nTime-Left: 8000\r\nContent-Length: 1\r\n\r\nx")
                .readUntil("\r\n\r\n");
    }
}
