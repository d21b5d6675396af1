package org.rattanplank.daemon.target;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.route.Route;
import org.rattanplank.daemon.RawServer;
import org.rattanplank.daemon.RecordingEventSink;
import org.rattanplank.daemon.TestFixtures;
import org.rattanplank.daemon.TestFixtures.RecordingRequester;
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.http.ResponseMemory;
import ratpack.exec.internal.DefaultExecController;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests heads of responses that stop, that continue another head, or that follow an informational one. */
class ResponseHeadTest {
    private static final String OWN_ID = "X-Request-Id: r1.1\r\n";
    private static final String OTHER_ID = "X-Request-Id: r0.1\r\n";
    private static final String DATE = "Date: Sat, 05 Dec 2026 00:00:00 GMT\r\n";
    private static final String LENGTH = "Content-Length: 6\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";
    private static final String SUCCESS = "HTTP/1.1 200 All is well\r\n";
    private static final String FAILURE =
            "HTTP/1.1 500 Internal Server Error\r\n" + OWN_ID + DATE + LENGTH + "\r\nfailed";

    private static final long MEMORY_BYTES = 300_000;

    private final DefaultExecController controller = new DefaultExecController(2);
    private final ResponseMemory memory = ResponseMemory.of(MEMORY_BYTES);
    private final RecordingEventSink eventSink = new RecordingEventSink();
    private final RecordingRequester requester = new RecordingRequester();

    @AfterEach
    void close() {
        controller.close();
    }

    /** Guards against an empty or short response that looks whole, as the target stopped within its head. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                OWN_ID + LENGTH,
                LENGTH + OWN_ID,
                OWN_ID + CHUNKED,
                OWN_ID + DATE,
                OWN_ID + EVENT_STREAM,
                OWN_ID + EVENT_STREAM + CHUNKED
            })
    void shouldEndAsLostWhenTheConnectionClosesWithinTheHead(String headers) throws Exception {
        assertLostAfterEachCut(SUCCESS + headers + "\r\n", "");
    }

    /** Guards against a success where the target failed, as its response continues the one of an earlier request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                OTHER_ID + DATE + LENGTH,
                DATE + LENGTH + OTHER_ID,
                DATE + CHUNKED + OTHER_ID,
                DATE + OTHER_ID,
                DATE + LENGTH,
                EVENT_STREAM + CHUNKED + OTHER_ID
            })
    void shouldEndAsLostWhenAnotherResponseStopsBeforeTheOwnOne(String headers) throws Exception {
        String body = headers.contains(CHUNKED) ? "6\r\nbooked\r\n0\r\n\r\n" : "booked";
        assertLostAfterEachCut(SUCCESS + headers + "\r\n" + body, FAILURE);
    }

    /** Guards against a success where the target failed, as the head of its response continues one with the same id. */
    @ParameterizedTest
    @ValueSource(strings = {DATE + LENGTH + OWN_ID, OWN_ID + DATE + CHUNKED, OWN_ID + EVENT_STREAM})
    void shouldEndAsLostWhenAnotherHeadWithTheOwnIdStopsBeforeTheOwnOne(String headers) throws Exception {
        assertLostAfterEachCut(SUCCESS + headers + "\r", FAILURE);
    }

    /** Guards against a failure of another request where the target succeeded. */
    @Test
    void shouldEndAsLostWhenAFailureOfAnotherRequestStopsBeforeTheOwnSuccess() throws Exception {
        String success = SUCCESS + OWN_ID + LENGTH + "\r\nbooked";
        assertLostAfterEachCut(FAILURE.replace(OWN_ID, OTHER_ID), success);
    }

    /** Guards against an answer that is refused after the target ran the request, as an informational one precedes it. */
    @Test
    void shouldReturnTheFinalResponseWhenInformationalOnesPrecedeIt() throws Exception {
        try (RawServer target = RawServer.of(connection -> {
            connection.request();
            connection.write(
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + OWN_ID + LENGTH + "\r\n" + FAILURE);
        })) {
            AttemptResult.Completed completed = assertInstanceOf(AttemptResult.Completed.class, run(target));

            assertEquals(500, completed.answer().status());
            assertArrayEquals("failed".getBytes(), completed.answer().body());
        }
    }

    /** Guards against an informational answer that counts as the answer when no other one follows. */
    @Test
    void shouldEndAsLostWhenOnlyAnInformationalResponseArrives() throws Exception {
        try (RawServer target = RawServer.of(connection -> {
            connection.request();
            connection.write("HTTP/1.1 103 Early Hints\r\n" + OWN_ID + LENGTH + "\r\n");
        })) {
            assertInstanceOf(AttemptResult.Lost.class, run(target));
        }
    }

    /** Guards against a protocol that was never asked for, whose bytes are none of HTTP. */
    @Test
    void shouldEndAsLostWhenTheTargetSwitchesProtocols() throws Exception {
        try (RawServer target = RawServer.of(connection -> {
            connection.request();
            connection.write("HTTP/1.1 101 Switching Protocols\r\n" + OWN_ID + LENGTH + "\r\n" + FAILURE);
            connection.awaitClose();
        })) {
            assertInstanceOf(AttemptResult.Lost.class, run(target));
        }
    }

    /** Asserts that no response is returned when the first response stops before each of its bytes but the first. */
    private void assertLostAfterEachCut(String first, String second) throws Exception {
        List<String> returned = new ArrayList<>();
        AtomicInteger cut = new AtomicInteger();
        try (RawServer target = RawServer.of(connection -> {
            connection.request();
            connection.write(first.substring(0, cut.get()) + second);
        })) {
            for (cut.set(1); cut.get() < first.length(); cut.incrementAndGet()) {
                AttemptResult result = run(target);
                if (!(result instanceof AttemptResult.Lost)) {
                    returned.add(cut.get() + " " + result);
                }
            }
        }
        assertEquals(List.of(), returned);
    }

    /** Guards against sound responses that are refused, as their reason phrase or headers are unusual. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, HTTP/1.0 other\r\n",
                "HTTP/1.1 200 OK\r\nVia: 1.1 200\r\nUpgrade: HTTP/2.0\r\n",
                "HTTP/1.0 200\r\n",
                "HTTP/1.1 200 200 OK HTTP\r\nX-Empty:\r\nX-Folded: a\r\n b\r\n"
            })
    void shouldReturnTheResponseWhenItsHeadIsUnusual(String start) throws Exception {
        try (RawServer target = RawServer.of(connection -> {
            connection.request();
            connection.write(start + OWN_ID + LENGTH + "\r\nbooked");
        })) {
            AttemptResult.Completed completed = assertInstanceOf(AttemptResult.Completed.class, run(target));

            assertArrayEquals("booked".getBytes(), completed.answer().body());
        }
    }

    /** Guards against an answer with a status that no answer has, or that is no status by its syntax. */
    @ParameterizedTest
    @ValueSource(strings = {"000 OK", "0 OK", "99 OK", "600 OK", "999 OK", "0200 OK", "+200 OK", "2000 OK", "20x OK"})
    void shouldEndAsLostWhenTheStatusIsInvalid(String status) throws Exception {
        assertLost("HTTP/1.1 " + status + "\r\n" + OWN_ID + LENGTH + "\r\nbooked");
        assertLost("HTTP/1.1 " + status + "\r\n\r\n" + SUCCESS + OWN_ID + LENGTH + "\r\nbooked");
    }

    /** Guards against a body that isn't the target's, as the field that frames it has a broken name. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X Odd: 1",
                "X\tOdd: 1",
                "X-Odd : 1",
                "X-Odd\t: 1",
                "X\0Odd: 1",
                "X\u0001Odd: 1",
                "X-Odd\u001f: 1",
                ": 1",
                " : 1",
                " Content-Length: 3",
                "Content Length: 3",
                "Content-Length : 6",
                "Transfer-Encoding : chunked",
                "X-Odd 1"
            })
    void shouldEndAsLostWhenAFieldNameIsNoToken(String field) throws Exception {
        String line = field + "\r\n";
        assertLost(SUCCESS + OWN_ID + line + LENGTH + "\r\nbooked");
        assertLost(SUCCESS + line + OWN_ID + LENGTH + "\r\nbooked");
        assertLost(SUCCESS + OWN_ID + EVENT_STREAM + line + "\r\nid: 0\ndata: a\n\ndata: [DONE]\n\n");
        assertLost("HTTP/1.1 103 Early Hints\r\nVia: a\r\n" + line + "\r\n" + SUCCESS + OWN_ID + LENGTH + "\r\nbooked");
        assertLost(SUCCESS + OWN_ID + CHUNKED + "\r\n6\r\nbooked\r\n0\r\n" + line + "\r\n");
    }

    private void assertLost(String response) throws Exception {
        try (RawServer target = RawServer.of(connection -> {
            connection.request();
            connection.write(response);
        })) {
            assertInstanceOf(AttemptResult.Lost.class, run(target), response);
        }
    }

    private AttemptResult run(RawServer target) throws InterruptedException {
        AttemptLimits limits = new AttemptLimits(65_536, 65_536, memory, new OverdueTimes(60_000, 60_000, 60_000));
        Targets targets = new Targets(
                TestFixtures.resources(controller, eventSink),
                TestFixtures.directory("t1", target.port()),
                limits,
                10_000);
        Call call = TestFixtures.call("r1", "/book", requester);
        targets.start(
                call,
                new Action.StartAttempt(
                        "r1",
                        1,
                        new Route.ToTarget("t1"),
                        call.request(),
                        0,
                        call.request().deadlineMillis()),
                "");
        return eventSink.next(Event.AttemptEnded.class).result();
    }
}
