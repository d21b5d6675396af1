package org.rattanplank.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.Event;
import org.rattanplank.core.Node;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreOwner;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.daemon.call.Calls;
import org.rattanplank.daemon.caller.CallerLimits;
import org.rattanplank.daemon.caller.CallerServer;
import org.rattanplank.daemon.runtime.Events;
import org.rattanplank.daemon.runtime.MillisClock;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What callers see of the last moments of a planned stop. */
@Timeout(60)
class CallerDrainTest {
    private static final String DOCUMENT =
            """
            {"generation": 1, "digest": "d", "files": {
              "10": {"kind": "service", "name": "crew-desk", "type": "plain", "repeatable": false},
              "20": {"kind": "account", "name": "floor", "homeRegion": "suva", "homeDataCentre": "suva-hall",
                "tokenSha256": "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"}}}
            """;
    private static final String QUESTION = "GET /v1/entry-hosts HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final String BOOKING = "POST /services/crew-desk/book HTTP/1.1\r\nHost: x\r\n"
            + "Authorization: Bearer token\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}";
    private static final int CALLERS = 10;
    private static final int LIMIT_MILLIS = 20_000;

    /** Longer than any quiet time of a stop. */
    private static final long LONG_MILLIS = 1_000;

    private static final int LONG_TIMES = 5;

    private final AtomicLong nowMillis = new AtomicLong(1);
    private final CountDownLatch standing = new CountDownLatch(1);
    private final CountDownLatch goOn = new CountDownLatch(1);
    private CallerServer server;
    private int port;

    @BeforeEach
    void open() {
        MillisClock clock = MillisClock.ofWallClock();
        Node node = Node.of(new NodeIdentity("suva-1", 1, TestHosts.SUVA), Policy.COST, 1);
        StoreReply.Found found = new StoreReply.Found(List.of(new StoreEntry("k", DOCUMENT, 1)), 1);
        node.handle(new Event.StoreReplied(StoreOwner.CONFIGURATION, 1, found), clock.nowMillis());
        CallerLimits limits = new CallerLimits(2_048, 8_192, 100, 65_536, 60_000, 60_000, 30_000, 60_000);
        server = new CallerServer("suva-1", node, Calls.of(2), new StandingEvents(), clock, limits);
        port = server.open("127.0.0.1", 0, 1).get();
    }

    @AfterEach
    void close() {
        goOn.countDown();
        server.close();
    }

    /**
     * Symptom: a call on a kept connection gets a reset or an end of stream instead of a reply when its host is replaced.
     * Sequence: a stopping host gets no processor time for a while near its end; requests come meanwhile; when it goes
     * on, it ends. Cause: 300 ms by the clock in which no request was handled were taken for 300 ms in which none came.
     * It showed on a host that was told to stop, held for 0.6 s and let go on: of ten requests that were sent in that
     * time up to eight were reset, none at other moments, and no reply of a stopping host told its caller to leave the
     * connection.
     */
    @Test
    void shouldReplyToWhatHasComeWhenTheHostStandsStillAtTheEndOfItsStop() throws Exception {
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Socket caller = connect();
            send(caller, QUESTION);
            readReply(caller);
            callers.add(caller);
        }
        CallerDrain drain = beginDrain();
        standStill();
        for (Socket caller : callers) {
            send(caller, QUESTION);
        }

        assertNotDoneForLong(drain);

        goOn.countDown();
        for (Socket caller : callers) {
            String reply = readReply(caller).toLowerCase(Locale.ROOT);
            assertTrue(reply.contains("connection: close"), reply);
        }
        awaitDone(drain);
    }

    /**
     * Symptom: "header parser received no bytes" on a new connection, once in two runs beside twenty busy processes.
     * Sequence: a caller connects as the port closes; its request comes a moment later. Cause: the stop was over when the
     * port had been told to close and the clock had gone on, whether or not the port was closed, who waited there was
     * accepted, and what they sent was read.
     */
    @Test
    void shouldReplyToWhoeverHasConnectedWhenThePortCloses() throws Exception {
        CallerDrain drain = beginDrain();
        standStill();
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(connect());
        }

        assertNotDoneForLong(drain);
        goOn.countDown();

        for (Socket caller : callers) {
            send(caller, QUESTION);
            assertTrue(readReply(caller).startsWith("HTTP/1.1 200"));
        }
        awaitDone(drain);
    }

    @Test
    void shouldEndWhatIsIdleWhenNoRequestHasCome() throws Exception {
        Socket caller = connect();
        send(caller, QUESTION);
        readReply(caller);
        CallerDrain drain = beginDrain();

        awaitDone(drain);

        assertTrue(caller.getInputStream().read() < 0);
    }

    private CallerDrain beginDrain() {
        server.leave();
        return new CallerDrain(server, () -> server.unsentReplies() - unsentBooking(), nowMillis::get);
    }

    /** The booking by which the host is made to stand still is no work that a stop waits for. */
    private int unsentBooking() {
        return standing.getCount() == 0 ? 1 : 0;
    }

    /** Lets the event loop stand still. */
    private void standStill() throws Exception {
        send(connect(), BOOKING);
        standing.await();
    }

    private void assertNotDoneForLong(CallerDrain drain) {
        for (int i = 0; i < LONG_TIMES; i++) {
            nowMillis.addAndGet(LONG_MILLIS);
            assertFalse(drain.isDone());
        }
    }

    private void awaitDone(CallerDrain drain) throws InterruptedException {
        while (!drain.isDone()) {
            nowMillis.addAndGet(LONG_MILLIS);
            Thread.sleep(10);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(LIMIT_MILLIS);
        return socket;
    }

    private static void send(Socket caller, String request) throws IOException {
        caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    }

    private static String readReply(Socket caller) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!bytes.toString(StandardCharsets.UTF_8).contains("}")) {
            int next = caller.getInputStream().read();
            assertTrue(next >= 0, "ended after: " + bytes);
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** Holds the event loop that hands in the first request, for good: nobody serves it. */
    private final class StandingEvents implements Events {
        @Override
        public void raise(Event event) {
            // Nothing here hears of it.
        }

        @Override
        public boolean offer(Event event) {
            standing.countDown();
            try {
                goOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return false;
        }
    }
}
