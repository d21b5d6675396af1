package org.rattanplank.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A target sends a second response to an earlier request, whole or stopped at each byte, and then the own response on the
 * same connection. Guards against an answer that is made of two, or that belongs to another request.
 */
@Timeout(120)
class LateResponseFlowTest {
    private static final String BODY = "sixteen bytes...";
    private static final String OWN_STAMP = "own";
    private static final String LATE_STAMP = "late";
    private static final int CALLERS = 16;

    private final Map<String, Script> scripts = new ConcurrentHashMap<>();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : resources) {
            each.close();
        }
    }

    /** The form of a late response. */
    private enum Form {
        IDENTIFIER_FIRST {
            @Override
            String text(String id) {
                return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nStamp: " + LATE_STAMP + length() + BODY;
            }
        },
        IDENTIFIER_LAST {
            @Override
            String text(String id) {
                return "HTTP/1.1 200 OK\r\nStamp: " + LATE_STAMP + "\r\nContent-Type: text/plain\r\nRequest-Id: " + id
                        + length() + BODY;
            }
        },
        LONG_REASON {
            @Override
            String text(String id) {
                return "HTTP/1.1 200 All Is Well\r\nStamp: " + LATE_STAMP + "\r\nRequest-Id: " + id + length() + BODY;
            }
        },
        WITHOUT_IDENTIFIER {
            @Override
            String text(String id) {
                return "HTTP/1.1 200 OK\r\nStamp: " + LATE_STAMP + length() + BODY;
            }
        },
        CHUNKED {
            @Override
            String text(String id) {
                return "HTTP/1.1 200 OK\r\nStamp: " + LATE_STAMP + "\r\nTransfer-Encoding: chunked\r\nRequest-Id: " + id
                        + "\r\n\r\n" + TestTarget.chunk(BODY) + TestTarget.chunk(BODY) + "0\r\n\r\n";
            }
        },
        TRAILERS {
            @Override
            String text(String id) {
                return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest-Id: " + id + "\r\n\r\n"
                        + TestTarget.chunk(BODY) + "0\r\nSum: abcdef\r\nStamp: " + LATE_STAMP + "\r\n\r\n";
            }
        },
        ENDED_BY_CONNECTION {
            @Override
            String text(String id) {
                return "HTTP/1.1 200 OK\r\nStamp: " + LATE_STAMP + "\r\nRequest-Id: " + id + "\r\n\r\n" + BODY;
            }
        },
        FAILURE {
            @Override
            String text(String id) {
                return "HTTP/1.1 500 X\r\nStamp: " + LATE_STAMP + "\r\nRequest-Id: " + id + length() + BODY;
            }
        },
        INFORMATIONAL {
            @Override
            String text(String id) {
                return "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\nRequest-Id: " + id + "\r\n\r\n";
            }
        };

        abstract String text(String id);

        private static String length() {
            return "\r\nContent-Length: " + BODY.length() + "\r\n\r\n";
        }
    }

    /** What a target does with a request. */
    private interface Script {
        void serve(String request, OutputStream out) throws IOException;
    }

    private static String ownResponse(String request, int status) {
        return "HTTP/1.1 " + status + " X\r\nRequest-Id: " + TestTarget.header(request, "request-id")
                + "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nStamp: " + OWN_STAMP
                + "\r\nContent-Length: " + ownBody(status).length() + "\r\n\r\n" + ownBody(status);
    }

    private static String ownBody(int status) {
        return "id: 1\ndata: " + status + "\n\n";
    }

    private TestGateway gateway(String name, String region, RouteKind kind) throws IOException {
        TestGateway gateway = new TestGateway(name, region);
        resources.add(gateway);
        return gateway.configure(kind, false, 1);
    }

    private void addTarget(TestGateway gateway) throws IOException {
        TestTarget target = new TestTarget((request, out) ->
                scripts.get(TestTarget.header(request, "request-id")).serve(request, out));
        resources.add(target);
        gateway.registerTarget(new TargetIncarnation("t", 0), target.port());
        gateway.awaitTargets(1);
    }

    private Received send(TestGateway gateway, String method, Script script) throws IOException {
        String id = "request-" + requests.incrementAndGet();
        scripts.put(id, script);
        try (TestCaller caller = gateway.caller()) {
            caller.send(method + " /a/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nRequest-Id: " + id
                    + "\r\nTokens: 100,50\r\nTime-Left: 10000\r\nContent-Length: 1\r\n\r\nx");
            return Received.parse(caller.readAll());
        }
    }

    private Received sendOrdinary(TestGateway gateway) throws IOException {
        return send(gateway, "POST", (request, out) -> TestTarget.write(out, ownResponse(request, 200)));
    }

    /**
     * What a caller has received.
     *
     * @param status the status
     * @param stamp the value of the target's header, or empty
     * @param raw all of it
     */
    private record Received(int status, String stamp, String raw) {
        private static Received parse(String raw) {
            return new Received(Integer.parseInt(raw.split(" ")[1]), TestTarget.header(raw, "stamp"), raw);
        }

        /** Returns whether it is the own response, whole. */
        private boolean isOwn(int ownStatus) {
            return status == ownStatus
                    && stamp.equals(OWN_STAMP)
                    && raw.contains(ownBody(ownStatus))
                    && !raw.contains(LATE_STAMP);
        }

        /** Returns whether it tells that the outcome is unknown. */
        private boolean isUnknown() {
            return status == 502 && stamp.isEmpty();
        }
    }

    /** Sends a request for each number of bytes of the late response that come before the own one. */
    private void check(TestGateway gateway, Form form, int ownStatus) throws Exception {
        int length = form.text("earlier-request").length();
        List<Callable<String>> calls = new ArrayList<>();
        for (int sent = 0; sent <= length; sent++) {
            String late = form.text("earlier-request").substring(0, sent);
            boolean whole = sent == 0 || sent == length && form != Form.ENDED_BY_CONNECTION;
            calls.add(() -> {
                Received received = send(
                        gateway,
                        "POST",
                        (request, out) -> TestTarget.write(out, late + ownResponse(request, ownStatus)));
                boolean allowed = received.isOwn(ownStatus) || !whole && received.isUnknown();
                return allowed ? "" : late.length() + " bytes: " + received.raw() + '\n';
            });
        }
        assertEquals("", callAll(calls), form.toString());
    }

    private static String callAll(List<Callable<String>> calls) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        try {
            StringBuilder failures = new StringBuilder();
            for (Future<String> each : callers.invokeAll(calls)) {
                failures.append(each.get());
            }
            return failures.toString();
        } finally {
            callers.shutdownNow();
        }
    }

    /** Guards against a success whose target has failed: the status of a late response before the own identifier. */
    @ParameterizedTest
    @EnumSource(Form.class)
    void shouldNotJoinALateResponseWhenTheOwnOneIsAFailure(Form form) throws Exception {
        TestGateway gateway = gateway("h1", "suva", RouteKind.UNSAFE);
        addTarget(gateway);

        check(gateway, form, 500);
    }

    /** Guards against a success that bears the stamp of a late response. */
    @ParameterizedTest
    @EnumSource(Form.class)
    void shouldNotJoinALateResponseWhenTheOwnOneIsASuccess(Form form) throws Exception {
        TestGateway gateway = gateway("h1", "suva", RouteKind.UNSAFE);
        addTarget(gateway);

        check(gateway, form, 200);
    }

    /** Guards against a stream whose target has failed before its first event. */
    @Test
    void shouldNotJoinALateResponseWhenTheOwnOneIsAStream() throws Exception {
        TestGateway gateway = gateway("h1", "suva", RouteKind.STREAM);
        addTarget(gateway);

        check(gateway, Form.IDENTIFIER_LAST, 500);
        check(gateway, Form.IDENTIFIER_LAST, 200);
    }

    /** Guards against a joined head that a host of another region passes on. */
    @Test
    void shouldNotJoinALateResponseWhenTheRequestIsForwarded() throws Exception {
        TestGateway entry = gateway("h1", "suva", RouteKind.UNSAFE);
        TestGateway serving = gateway("h2", "labasa", RouteKind.UNSAFE);
        entry.connect(serving);
        addTarget(serving);
        entry.awaitServed(() -> sendOrdinary(entry).status() == 200);

        check(entry, Form.IDENTIFIER_LAST, 500);
    }

    /** Guards against a request that is sent where a part of a late response has been received before. */
    @Test
    void shouldNotReuseAConnectionWhenALateResponseHasBegunBefore() throws Exception {
        TestGateway gateway = gateway("h1", "suva", RouteKind.UNSAFE);
        addTarget(gateway);
        String late = Form.IDENTIFIER_LAST.text("earlier-request");

        for (int sent = 1; sent < late.length(); sent++) {
            String part = late.substring(0, sent);
            Received first =
                    send(gateway, "POST", (request, out) -> TestTarget.write(out, ownResponse(request, 200) + part));
            Received second = sendOrdinary(gateway);

            assertTrue(first.isOwn(200), first.raw());
            assertTrue(second.isOwn(200), () -> part.length() + " bytes: " + second.raw());
        }
    }

    /** Guards against an answer that is awaited until the deadline, although its target has sent all it will. */
    @Test
    void shouldEndTheAttemptWhenTheHeadStops() throws Exception {
        TestGateway gateway = gateway("h1", "suva", RouteKind.UNSAFE);
        addTarget(gateway);
        String head = ownResponse("Request-Id: own", 500).split("\r\n\r\n")[0];

        List<Callable<String>> calls = new ArrayList<>();
        for (int sent = 1; sent <= head.length(); sent++) {
            String part = head.substring(0, sent);
            calls.add(() -> {
                Received received = send(gateway, "POST", (request, out) -> TestTarget.write(out, part));
                return received.isUnknown() ? "" : part.length() + " bytes: " + received.raw() + '\n';
            });
        }

        assertEquals("", callAll(calls));
    }

    /**
     * Guards against a late response to a request of another method: the response to HEAD announces a body that doesn't follow,
     * and takes the own response for it.
     */
    @Test
    void shouldNotReuseAConnectionWhenItHasCarriedAHeadRequest() throws Exception {
        TestGateway gateway = gateway("h1", "suva", RouteKind.SAFE);
        addTarget(gateway);
        String response = "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nStamp: " + OWN_STAMP + "\r\nContent-Length: 600\r\n\r\n";
        List<OutputStream> connections = new ArrayList<>();

        send(gateway, "HEAD", (request, out) -> {
            connections.add(out);
            TestTarget.write(out, String.format(response, TestTarget.header(request, "request-id")));
        });
        Received received = send(gateway, "POST", (request, out) -> {
            connections.add(out);
            TestTarget.write(out, ownResponse(request, 200));
        });

        assertTrue(received.isOwn(200), received.raw());
        assertTrue(connections.get(0) != connections.get(1));
    }
}
