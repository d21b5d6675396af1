package org.rattanplank.gateway;

import java.io.IOException;

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

/** Tests that no request is sent to a target that has said in an answer that it leaves. */
@Timeout(60)
class TargetLeavingFlowTest {
    private static final int REQUESTS = 20;
    private static final String NOT_RUN = "503 X\r\nNot-Run: 1";

    private TestGateway gateway;
    private TestTarget other;

    @BeforeEach
    void start() throws IOException {
        gateway = new TestGateway();
        other = TestTarget.answering("done");
    }

    @AfterEach
    void close() throws IOException {
        other.close();
        gateway.close();
    }

    /** Guards against requests to a target that says in its answers that it leaves, while its entry says nothing of it. */
    @ParameterizedTest
    @ValueSource(strings = {"200 X", "500 X", NOT_RUN})
    void shouldSendNothingMoreWhenAnAnswerSaysThatItsTargetLeaves(String status) throws IOException {
        try (TestTarget leaving = leavingTarget(status)) {
            gateway.configure(RouteKind.SAFE, false, 1).target("t1", leaving.port());
            request(0);
            gateway.target("t2", other.port());

            for (int i = 0; i < REQUESTS; i++) {
                assertTrue(request(i + 1).startsWith("HTTP/1.1 200"));
            }

            assertEquals(1, leaving.unreadRequests());
        }
    }

    /** Guards against a target that is used again because its entry, which is older than its answer, is written again. */
    @Test
    void shouldSendNothingMoreWhenTheEntryOfTheLeavingTargetIsWrittenAgain() throws IOException {
        try (TestTarget leaving = leavingTarget("200 X")) {
            gateway.configure(RouteKind.SAFE, false, 1).target("t1", leaving.port());
            request(0);
            gateway.registerTarget(new TargetIncarnation("t1", 0), leaving.port());
            gateway.target("t2", other.port());

            assertTrue(request(1).startsWith("HTTP/1.1 200"));

            assertEquals(1, leaving.unreadRequests());
        }
    }

    /** Guards against a sound target that gets no more requests as its answers carry another value of the header. */
    @Test
    void shouldGoOnSendingWhenAnAnswerSaysThatItsTargetDoesNotLeave() throws IOException {
        try (TestTarget target = target("200 X\r\nLeaving: 0")) {
            gateway.configure(RouteKind.SAFE, false, 1).target("t1", target.port());

            for (int i = 0; i < REQUESTS; i++) {
                assertTrue(request(i).startsWith("HTTP/1.1 200"));
            }
        }
    }

    private static TestTarget leavingTarget(String status) throws IOException {
        return target(status + "\r\nLeaving: 1");
    }

    /** Returns a target whose answers have the given status line and headers. */
    private static TestTarget target(String head) throws IOException {
        return new TestTarget((request, out) ->
                TestTarget.write(out, TestTarget.answer(request, 200, "done").replace("200 X", head)));
    }

    private String request(int number) throws IOException {
        return gateway.caller()
                .send("GET /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q" + number
                        + "\r\nTime-Left: 5000\r\n\r\n")
                .readUntil("\r\n\r\n");
    }
}
