package org.rattanplank.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A target sends heads and trailers that break the syntax of HTTP. Guards against such a response that is passed on to
 * the caller, and against a sound one that is refused.
 */
@Timeout(120)
class MalformedHeadFlowTest {
    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String OWN_HEAD_START = "Request-Id: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\n";
    private static final String LENGTH = "Content-Length: " + EVENT.length() + "\r\n";
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\n" + OWN_HEAD_START + LENGTH + "\r\n" + EVENT;
    private static final List<String> SOUND_STARTS = List.of(
            "HTTP/1.1 200\r\n",
            "HTTP/1.1 200 \r\n",
            "HTTP/1.0 200 OK\r\n",
            "HTTP/1.1 200 000 is fine : really\r\n",
            "HTTP/1.1 299 Odd\r\n",
            "HTTP/1.1 404 Not Found\r\n",
            "HTTP/1.1 599 Odd\r\n",
            "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Blank: \r\n",
            "HTTP/1.1 200 OK\r\nX:no blank\r\nY:\t tabs\tand blanks \r\n",
            "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n",
            "HTTP/1.1 200 OK\r\nX-Time: a b : c:d : 000\r\n",
            "HTTP/1.1 200 OK\r\nX-Latin: caf\u00e9 \u0085\r\n",
            "HTTP/1.1 200 OK\r\nX-Folded: a\r\n b\r\n\tc d\r\n \"e:f\"\r\n",
            "HTTP/1.1 200 OK\nX-Line-Feed: a\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n");
    private static final String LATE_ID = "Request-Id: earlier\r\n";

    private final Map<String, List<String>> responses = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private int requests;

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : resources) {
            each.close();
        }
    }

    /** A line of a head whose field name is no token. */
    private enum BrokenField {
        BLANK_IN_NAME("X Odd: 1"),
        TAB_IN_NAME("X\tOdd: 1"),
        BLANK_BEFORE_COLON("X-Odd : 1"),
        TAB_BEFORE_COLON("X-Odd\t: 1"),
        NUL_IN_NAME("X\0Odd: 1"),
        CONTROL_IN_NAME("X\u0001Odd: 1"),
        CONTROL_BEFORE_NAME("\u0001X-Odd: 1"),
        CONTROL_AFTER_NAME("X-Odd\u001f: 1"),
        VERTICAL_TAB_IN_NAME("X\u000bOdd: 1"),
        VERTICAL_TAB_BEFORE_NAME("\u000bX-Odd: 1"),
        RETURN_IN_NAME("X\rOdd: 1"),
        DELETE_IN_NAME("X\u007fOdd: 1"),
        C1_CONTROL_IN_NAME("X\u0085Odd: 1"),
        NO_NAME(": 1"),
        BLANK_NAME(" : 1"),
        BLANK_BEFORE_LENGTH(" Content-Length: 3"),
        TAB_BEFORE_LENGTH("\tContent-Length: 3"),
        BLANK_IN_LENGTH("Content Length: 3"),
        BLANK_AFTER_LENGTH("Content-Length : 3"),
        BLANK_AFTER_CODING("Transfer-Encoding : chunked"),
        BLANK_AFTER_CONNECTION("Connection : close"),
        NO_COLON("X-Odd 1");

        private final String line;

        BrokenField(String line) {
            this.line = line + "\r\n";
        }
    }

    private TestGateway gateway(String name, String region, RouteKind kind, boolean resumable, int maxAttempts)
            throws IOException {
        TestGateway gateway = new TestGateway(name, region);
        resources.add(gateway);
        return gateway.configure(kind, resumable, maxAttempts);
    }

    private TestGateway gatewayWithTarget(RouteKind kind) throws IOException {
        TestGateway gateway = gateway("h1", "suva", kind, false, 1);
        addTarget(gateway, "t");
        gateway.awaitTargets(1);
        return gateway;
    }

    /** Adds a target that sends the responses to each request in the order in which its attempts arrive. */
    private void addTarget(TestGateway gateway, String id) throws IOException {
        TestTarget target = new TestTarget((request, out) -> {
            String requestId = TestTarget.header(request, "request-id");
            int arrival = arrivals.get(requestId).getAndIncrement();
            List<String> expected = responses.get(requestId);
            String response = expected.get(Math.min(arrival, expected.size() - 1));
            TestTarget.write(out, response.replace("%s", requestId));
            if (!response.contains("Content-Length: ") && !response.contains(CHUNKED)) {
                throw new IOException("connection closed by the test");
            }
        });
        resources.add(target);
        gateway.registerTarget(new TargetIncarnation(id, 0), target.port());
    }

    private String send(TestGateway gateway, String... attempts) throws IOException {
        String id = "request-" + ++requests;
        arrivals.put(id, new AtomicInteger());
        responses.put(id, List.of(attempts));
        try (TestCaller caller = gateway.caller()) {
            caller.send("POST /a/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nRequest-Id: " + id
                    + "\r\nTokens: 100,50\r\nTime-Left: 10000\r\nContent-Length: 1\r\n\r\nx");
            return caller.readAll();
        }
    }

    private int arrivalsOfLastRequest() {
        return arrivals.get("request-" + requests).get();
    }

    /** Checks that nothing of a response reaches the caller, and that the request is sent once. */
    private void checkRefused(TestGateway gateway, String response) throws IOException {
        String received = send(gateway, response);
        assertTrue(received.startsWith("HTTP/1.1 502 "), () -> response + "\n-> " + received);
        assertEquals("", TestTarget.header(received, "stamp"), received);
        assertFalse(received.contains("data: "), received);
        assertEquals(1, arrivalsOfLastRequest(), response);
    }

    private static String withStatus(String status) {
        return SUCCESS.replace("200 OK", status);
    }

    private static List<String> withField(BrokenField field) {
        return List.of(
                SUCCESS.replace("Stamp: s\r\n", "Stamp: s\r\n" + field.line),
                SUCCESS.replace("OK\r\n", "OK\r\n" + field.line),
                SUCCESS.replace(EVENT, "").replace(LENGTH, field.line),
                SUCCESS.replace(LENGTH, field.line),
                SUCCESS.replace(
                        LENGTH + "\r\n" + EVENT, CHUNKED + field.line + "\r\n" + TestTarget.chunk(EVENT) + "0\r\n\r\n"),
                SUCCESS.replace("200 OK", "500 X").replace(LENGTH, field.line + LENGTH),
                SUCCESS.replace("200 OK", "204 No Content").replace(LENGTH + "\r\n" + EVENT, field.line + "\r\n"));
    }

    /** Guards against an answer with a status that no answer has. */
    @ParameterizedTest
    @ValueSource(
            strings = {"000 OK", "000", "0 OK", "00 OK", "0000 OK", "099 OK", "99 OK", "20 OK", "600 OK", "999 OK"})
    void shouldRefuseAResponseWhenItsStatusIsOutOfRange(String status) throws Exception {
        TestGateway gateway = gatewayWithTarget(RouteKind.UNSAFE);

        checkRefused(gateway, withStatus(status));
        checkRefused(gateway, withStatus(status).replace("Request-Id: %s\r\n", ""));
        checkRefused(gateway, withStatus(status).replace(LENGTH, ""));
    }

    /** Guards against a status that the decoder reads more leniently than its syntax allows. */
    @ParameterizedTest
    @ValueSource(
            strings = {"0200 OK", "+200 OK", "-200 OK", "00200 OK", "2000 OK", "20x OK", "2x0 OK", "\u00b200 OK", "OK"})
    void shouldRefuseAResponseWhenItsStatusHasNotThreeDigits(String status) throws Exception {
        TestGateway gateway = gatewayWithTarget(RouteKind.UNSAFE);

        checkRefused(gateway, withStatus(status));
    }

    /** Guards against an answer with a field that its target hasn't sent so, or with a body that isn't the target's. */
    @ParameterizedTest
    @EnumSource(
            value = RouteKind.class,
            names = {"UNSAFE", "STREAM"})
    void shouldRefuseAResponseWhenAFieldNameIsNoToken(RouteKind kind) throws Exception {
        TestGateway gateway = gatewayWithTarget(kind);

        for (BrokenField field : BrokenField.values()) {
            for (String response : withField(field)) {
                checkRefused(gateway, response);
            }
        }
    }

    /** Guards against an own response that is discarded as one to another request, and awaited until the deadline. */
    @ParameterizedTest
    @ValueSource(strings = {"Request-Id : ", "Request-Id\t: ", "Request Id: ", " Request-Id: "})
    void shouldRefuseAResponseWhenTheNameOfItsIdentifierIsNoToken(String name) throws Exception {
        TestGateway gateway = gatewayWithTarget(RouteKind.UNSAFE);

        checkRefused(gateway, SUCCESS.replace("Request-Id: ", name));
        checkRefused(gateway, SUCCESS.replace("200 OK", "404 Not Found").replace("Request-Id: ", name));
    }

    /** Guards against a stream with a status that no answer has. */
    @Test
    void shouldRefuseAStreamWhenItsStatusIsOutOfRange() throws Exception {
        checkRefused(gatewayWithTarget(RouteKind.STREAM), withStatus("000 OK"));
    }

    /** Guards against a broken head that a host of another region passes on. */
    @Test
    void shouldRefuseAForwardedResponseWhenItsHeadIsMalformed() throws Exception {
        TestGateway entry = gateway("h1", "suva", RouteKind.UNSAFE, false, 1);
        TestGateway serving = gateway("h2", "labasa", RouteKind.UNSAFE, false, 1);
        entry.connect(serving);
        addTarget(serving, "t");
        serving.awaitTargets(1);
        entry.awaitServed(() -> send(entry, SUCCESS).startsWith("HTTP/1.1 200 "));

        checkRefused(entry, withStatus("000 OK"));
        for (BrokenField field : BrokenField.values()) {
            for (String response : withField(field)) {
                checkRefused(entry, response);
            }
        }
    }

    /** Guards against a response of which an earlier broken head has taken a part, or decided the framing. */
    @Test
    void shouldRefuseAResponseWhenAMalformedHeadPrecedesIt() throws Exception {
        TestGateway gateway = gatewayWithTarget(RouteKind.UNSAFE);

        checkRefused(gateway, "HTTP/1.1 000 X\r\n\r\n" + SUCCESS);
        checkRefused(gateway, "HTTP/1.1 000 X\r\n" + LATE_ID + "Content-Length: 0\r\n\r\n" + SUCCESS);
        for (BrokenField field : BrokenField.values()) {
            checkRefused(gateway, "HTTP/1.1 100 Continue\r\nVia: a\r\n" + field.line + "\r\n" + SUCCESS);
            checkRefused(gateway, "HTTP/1.1 103 Early Hints\r\n" + field.line + "\r\n" + SUCCESS);
            checkRefused(
                    gateway, "HTTP/1.1 200 OK\r\n" + LATE_ID + field.line + "Content-Length: 1\r\n\r\nx" + SUCCESS);
        }
    }

    /** Guards against a safe request that is not answered though another target can. */
    @Test
    void shouldRunASafeRequestAgainWhenTheHeadIsMalformed() throws Exception {
        TestGateway gateway = gateway("h1", "suva", RouteKind.SAFE, false, 2);
        addTarget(gateway, "t1");
        addTarget(gateway, "t2");
        gateway.awaitTargets(2);
        for (String malformed :
                List.of(withStatus("000 OK"), withStatus("+200 OK"), SUCCESS.replace("Stamp: ", "Stamp : "))) {
            for (int i = 0; i < 10; i++) {
                assertTrue(send(gateway, SUCCESS).startsWith("HTTP/1.1 200 "));
            }

            String received = send(gateway, malformed, SUCCESS);

            assertTrue(received.startsWith("HTTP/1.1 200 ") && received.endsWith(EVENT), received);
            assertEquals(2, arrivalsOfLastRequest());
        }
    }

    /** Guards against a stream that is framed as complete where its resumption has a broken head. */
    @Test
    void shouldBreakOffAStreamWhenTheHeadOfItsResumptionIsMalformed() throws Exception {
        TestGateway gateway = gateway("h1", "suva", RouteKind.STREAM, true, 2);
        addTarget(gateway, "t1");
        addTarget(gateway, "t2");
        gateway.awaitTargets(2);
        String cut = "HTTP/1.1 200 OK\r\n" + OWN_HEAD_START + "\r\n" + EVENT + "id: 2";
        String rest = SUCCESS.replace(EVENT, SECOND_EVENT);
        for (String malformed : List.of(
                rest.replace("200 OK", "000 OK"),
                rest.replace("200 OK", "+200 OK"),
                rest.replace("Stamp: ", "Stamp : "))) {
            for (int i = 0; i < 10; i++) {
                assertTrue(send(gateway, SUCCESS).startsWith("HTTP/1.1 200 "));
            }

            TestResponse received = TestResponse.parse(send(gateway, cut, malformed));

            assertEquals(new TestResponse("200", false, EVENT), received);
            assertEquals(2, arrivalsOfLastRequest());
        }
    }

    /** Guards against an answer that is framed as complete where its trailers are broken. */
    @ParameterizedTest
    @EnumSource(
            value = RouteKind.class,
            names = {"UNSAFE", "STREAM"})
    void shouldNotCompleteAResponseWhenAFieldNameOfItsTrailersIsNoToken(RouteKind kind) throws Exception {
        TestGateway gateway = gatewayWithTarget(kind);
        for (BrokenField field : BrokenField.values()) {
            String response = "HTTP/1.1 200 OK\r\n" + OWN_HEAD_START + CHUNKED + "\r\n" + TestTarget.chunk(EVENT)
                    + "0\r\n" + field.line + "\r\n";

            String received = send(gateway, response);

            boolean failed = received.startsWith("HTTP/1.1 502 ");
            assertTrue(failed || kind == RouteKind.STREAM, () -> response + "\n-> " + received);
            assertTrue(failed || !TestResponse.parse(received).complete(), () -> response + "\n-> " + received);
        }
    }

    /** Guards against a sound answer that is refused as its head is unusual. */
    @ParameterizedTest
    @EnumSource(
            value = RouteKind.class,
            names = {"UNSAFE", "STREAM"})
    void shouldPassOnAResponseWhenItsHeadIsSoundButUnusual(RouteKind kind) throws Exception {
        TestGateway gateway = gatewayWithTarget(kind);
        for (String start : SOUND_STARTS) {
            String status = start.substring(start.lastIndexOf("HTTP/1.") + 9).substring(0, 3);

            String received = send(gateway, start + OWN_HEAD_START + LENGTH + "\r\n" + EVENT);

            assertEquals(new TestResponse(status, true, EVENT), TestResponse.parse(received), start);
            assertEquals("s", TestTarget.header(received, "stamp"), start);
        }
    }

    /** Guards against a refusal whose cause the log doesn't tell, or tells with the bytes of the target. */
    @Test
    void shouldLogTheDefectWhenAHeadIsMalformed() throws Exception {
        TestGateway gateway = gatewayWithTarget(RouteKind.UNSAFE);

        for (String malformed : List.of(withStatus("000 OK"), SUCCESS.replace("Stamp", "St\u0001a\u0085mp"))) {
            send(gateway, malformed);

            String line = gateway.linesOf("request-" + requests).stream()
                    .filter(each -> each.contains("\"event\":\"response_unusable\""))
                    .findFirst()
                    .orElseThrow();
            assertTrue(line.contains("\"defect\":\"malformed\""), line);
            assertTrue(line.chars().allMatch(each -> each >= ' ' && each <= '~'), line);
        }
    }
}
