package org.rattanplank.gateway;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What the log tells of a request that failed names the true cause. */
@Timeout(60)
class GatewayLogTest {
    private TestGateway gateway;

    @BeforeEach
    void startGateway() throws IOException {
        gateway = new TestGateway();
    }

    @AfterEach
    void closeGateway() {
        gateway.close();
    }

    private static String request(String id) {
        return "POST /a/ HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nContent-Length: 1\r\n\r\nb";
    }

    private static void assertLine(List<String> lines, String... parts) {
        assertTrue(lines.stream().anyMatch(line -> List.of(parts).stream().allMatch(line::contains)), lines::toString);
    }

    @Test
    void shouldNameTheTargetAndTheBreakWhenAStreamBreaksMidway() throws Exception {
        TestTarget.Script script = (request, out) -> {
            TestTarget.write(out, TestTarget.streamHead(request) + TestTarget.chunk("id: 1\ndata: a\n\n"));
            throw new IOException("break off");
        };
        try (TestTarget target = new TestTarget(script)) {
            gateway.configure(RouteKind.STREAM, false, 1).target("t1", target.port());
            gateway.caller().send(request("q1")).readAll();

            List<String> lines = gateway.linesOf("q1");

            assertLine(lines, "\"event\":\"sent\"", "\"target\":\"t1\"");
            assertLine(lines, "\"event\":\"attempt_failed\"", "\"failure\":\"UNKNOWN\"", "the connection ended");
            assertLine(lines, "\"event\":\"ended\"", "\"outcome\":\"broken\"", "\"target\":\"t1\"");
        }
    }

    @Test
    void shouldSayThatItMayHaveRunWhenABookingsAnswerIsLost() throws Exception {
        try (TestTarget target = new TestTarget((request, out) -> {
            throw new IOException("break off");
        })) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());
            gateway.caller().send(request("q1")).readUntil("\r\n\r\n");

            List<String> lines = gateway.linesOf("q1");

            assertLine(lines, "\"event\":\"attempt_failed\"", "\"failure\":\"UNKNOWN\"");
            assertLine(lines, "\"event\":\"ended\"", "\"outcome\":\"502\"");
        }
    }

    @Test
    void shouldNameTheReasonWhenARequestIsRefused() throws Exception {
        gateway.configure(RouteKind.UNSAFE, false, 1);
        gateway.caller().send(request("q1")).readUntil("\r\n\r\n");

        assertLine(gateway.linesOf("q1"), "\"outcome\":\"refused\"", "no target may take it", "\"attempts\":0");
    }

    @Test
    void shouldLeaveOneLineWhenARequestGoesWell() throws Exception {
        try (TestTarget target =
                new TestTarget((request, out) -> TestTarget.write(out, TestTarget.answer(request, 200, "ok")))) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());
            gateway.caller().send(request("q1")).readUntil("ok");

            List<String> lines = gateway.linesOf("q1");

            assertEquals(1, lines.size(), lines::toString);
            assertLine(lines, "\"outcome\":\"answered\"", "\"target\":\"t1\"");
        }
    }

    /**
     * Symptom: a caller got a failure and the log shows an ordinary answer. Sequence: a target answers 500, no other can
     * be asked, and its answer is passed on. Cause: the lines told neither the status nor where it came from.
     */
    @Test
    void shouldTellTheStatusAndTheTargetWhenAFailureIsPassedOn() throws Exception {
        try (TestTarget target =
                new TestTarget((request, out) -> TestTarget.write(out, TestTarget.answer(request, 500, "no")))) {
            gateway.configure(RouteKind.SAFE, false, 2).target("t1", target.port());
            gateway.caller().send(request("q1")).readUntil("no");

            List<String> lines = gateway.linesOf("q1");

            assertLine(lines, "\"event\":\"sent\"", "\"target\":\"t1\"");
            assertLine(lines, "\"event\":\"ended\"", "\"outcome\":\"answered\"", "\"status\":500");
        }
    }
}
