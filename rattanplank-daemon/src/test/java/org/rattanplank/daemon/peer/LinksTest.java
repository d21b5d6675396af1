package org.rattanplank.daemon.peer;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.util.concurrent.EventExecutor;
import io.vavr.control.Try;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.route.Route;
import org.rattanplank.daemon.RawServer;
import org.rattanplank.daemon.RecordingEventSink;
import org.rattanplank.daemon.TestFixtures;
import org.rattanplank.daemon.TestFixtures.RecordingRequester;
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.call.Calls;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.schema.message.ForwardEnd;
import org.rattanplank.schema.message.ForwardRequest;
import org.rattanplank.schema.message.Heartbeat;
import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.Ping;
import org.rattanplank.schema.message.Pong;
import ratpack.exec.internal.DefaultExecController;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class LinksTest {
    private static final PeerSizes SIZES = new PeerSizes(1_048_576, 4_194_304, 10);
    private static final String CHAT = TestFixtures.CHAT;

    private final DefaultExecController controller = new DefaultExecController(2);
    private final DefaultExecController otherController = new DefaultExecController(1);
    private final RecordingEventSink eventSink = new RecordingEventSink();
    private final RecordingEventSink otherEventSink = new RecordingEventSink();
    private final Calls otherCalls = Calls.of(10);
    private final RecordingRequester requester = new RecordingRequester();

    @AfterEach
    void close() {
        controller.close();
        otherController.close();
    }

    @Test
    void shouldDeliverMessagesAndResponsesWhenLinkIsEstablished() {
        withPeer(30_000, (links, peer) -> {
            links.send("labasa-1", heartbeat());
            Event.PeerConnected connected = eventSink.next(Event.PeerConnected.class);
            assertEquals("labasa-1", connected.host());
            assertInstanceOf(
                    Heartbeat.class,
                    otherEventSink.next(Event.MessageReceived.class).message());

            forward(links, "r1");
            Event.PeerRequestReceived received = otherEventSink.next(Event.PeerRequestReceived.class);
            assertEquals(List.of("suva-1"), received.request().passedHosts());
            Call call = otherCalls.find("r1").get();
            call.beginAttempt(1, false, "r1.1.1");
            call.relay(1, 0, "id: 0\ndata: p\n\n".getBytes(), List.of("t1"));
            otherCalls.finish(
                    "r1", new Outcome.Answered(Answer.ofStream(200, "text/event-stream"), List.of("labasa-1", "t1")));
            AttemptResult.Completed completed = assertInstanceOf(AttemptResult.Completed.class, nextResult());
            assertEquals(List.of("t1"), completed.path());
            assertEquals(List.of("id: 0\ndata: p\n\n"), requester.streamEvents());

            forward(links, "r2");
            otherEventSink.next(Event.PeerRequestReceived.class);
            byte[] large = new byte[600_000];
            otherCalls.finish(
                    "r2", new Outcome.Answered(Answer.of(200, "application/json", large), List.of("labasa-1", "t1")));
            AttemptResult.Completed unary = assertInstanceOf(AttemptResult.Completed.class, nextResult());
            assertArrayEquals(large, unary.answer().body());

            forward(links, "r3");
            otherEventSink.next(Event.PeerRequestReceived.class);
            otherCalls.finish("r3", new Outcome.NotRun(Failure.of(Step.ROUTE, "any", "full"), 700));
            assertEquals(new AttemptResult.NotRun(Failure.of(Step.ROUTE, "any", "full"), 700), nextResult());
        });
    }

    /*
     * Guards against forwarded requests that hang until their deadline after a network device between two regions was
     * restarted: the link stays open at both ends but delivers nothing, and without pings nobody detects it.
     */
    @Test
    void shouldEndForwardedRequestAsLostWhenLinkBecomesUnresponsive() throws Exception {
        byte[] hello = FrameCodec.encode(new Hello("labasa-1", 1, "labasa", "labasa-hall", 1));
        try (RawServer unresponsive = RawServer.of(connection -> {
            connection.writeFrame(hello);
            connection.awaitClose();
        })) {
            Links links = links(TestFixtures.directory("labasa-1", unresponsive.port()), eventSink, 300);
            forward(links, "r1");
            assertInstanceOf(AttemptResult.Lost.class, nextResult());
            Event.PeerLost lost = eventSink.next(Event.PeerLost.class);
            assertEquals(new Event.PeerLost("labasa-1", false), lost);
            links.close();
        }
    }

    /*
     * Guards against a request that ends as unknown although it was never sent, and against a host that counts as
     * terminated although it is only partitioned: nothing listens at the address, or another host has taken it over.
     * Happens when a refused connection, an unresponsive one and a hello of another host are reported alike.
     */
    @Test
    void shouldReportNotRunAndWhetherRefusedWhenLinkCannotBeEstablished() throws Exception {
        Links refused = links(TestFixtures.directory("labasa-1", RawServer.freePort()), eventSink, 30_000);
        forward(refused, "r1");
        assertInstanceOf(AttemptResult.NotRun.class, nextResult());
        assertEquals(new Event.PeerLost("labasa-1", true), eventSink.next(Event.PeerLost.class));

        byte[] otherHello = FrameCodec.encode(new Hello("suva-9", 1, "suva", "suva-hall", 1));
        try (RawServer other = RawServer.of(connection -> {
            connection.writeFrame(otherHello);
            connection.awaitClose();
        })) {
            Links links = links(TestFixtures.directory("labasa-1", other.port()), eventSink, 30_000);
            forward(links, "r2");
            assertInstanceOf(AttemptResult.NotRun.class, nextResult());
            assertEquals(new Event.PeerLost("labasa-1", false), eventSink.next(Event.PeerLost.class));
            assertEquals(0, eventSink.count(Event.PeerConnected.class));
        }
    }

    /*
     * Guards against targets in the remote region that keep working for callers that have disconnected: an attempt is
     * cancelled or the requesting host's link is disconnected, and the serving host is not notified or ignores it.
     */
    @Test
    void shouldRaiseRequesterLeftWhenForwardIsCancelledOrLinkIsDisconnected() {
        withPeer(30_000, (links, peer) -> {
            forward(links, "r1");
            otherEventSink.next(Event.PeerRequestReceived.class);
            links.forwardedAttempts().cancel("r1", 1);
            assertEquals(new Event.RequesterLeft("r1"), otherEventSink.next(Event.RequesterLeft.class));
            forward(links, "r2");
            otherEventSink.next(Event.PeerRequestReceived.class);
            links.close();
            assertEquals(new Event.RequesterLeft("r2"), otherEventSink.next(Event.RequesterLeft.class));
            assertInstanceOf(AttemptResult.Lost.class, nextResult());
            assertEquals(0, otherCalls.size());
        });
    }

    private static PeerMessage heartbeat() {
        return Try.of(() -> new ObjectMapper(new MessagePackFactory()).writeValueAsBytes(Map.of("kind", "Heartbeat")))
                .flatMap(FrameCodec::decode)
                .get();
    }

    private PeerServer openPeer(long pingTimeoutMillis) {
        Links otherLinks = links(Directory.empty(), otherEventSink, pingTimeoutMillis, "labasa-1");
        return PeerServer.open(
                        "127.0.0.1", 0, otherController.getEventLoopGroup(), otherLinks, otherCalls, otherEventSink)
                .get();
    }

    private void withPeer(long pingTimeoutMillis, Scenario scenario) {
        PeerServer peer = openPeer(pingTimeoutMillis);
        Links links = links(TestFixtures.directory("labasa-1", peer.port()), eventSink, pingTimeoutMillis);
        try (peer) {
            scenario.run(links, peer);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        links.close();
    }

    /*
     * Guards against a request whose outcome is unknown because the host that it is forwarded to is being replaced:
     * that host is paused at the end of its shutdown, the request arrives meanwhile, and the host terminates when it
     * resumes. Happens when the shutdown waits only for pending responses and not for requests still unread in sockets.
     */
    @Test
    void shouldAcceptUnreadRequestWhenOtherHostClosesIdleConnections() {
        withPeer(30_000, (links, peer) -> {
            forward(links, "r1");
            otherEventSink.next(Event.PeerRequestReceived.class);
            otherCalls.finish("r1", new Outcome.NotRun(Failure.of(Step.ROUTE, "any", "full"), 700));
            nextResult();
            CountDownLatch resume = pauseOtherHost();

            peer.closeIdleConnections();
            forward(links, "r2");
            awaitTasks(controller);
            resume.countDown();

            assertEquals(
                    "r2",
                    otherEventSink
                            .next(Event.PeerRequestReceived.class)
                            .request()
                            .id());
            otherCalls.finish("r2", new Outcome.NotRun(Failure.of(Step.ROUTE, "any", "full"), 700));
            assertInstanceOf(AttemptResult.NotRun.class, nextResult());
            while (!peer.closeIdleConnections()) {
                Thread.onSpinWait();
            }
        });
    }

    /*
     * Guards against a request whose outcome is unknown because the host that it is forwarded to is being replaced: only
     * a part of the request has arrived when that host closes its idle connections.
     */
    @Test
    void shouldAcceptRequestWhenAPartHasArrivedBeforeOtherHostClosesIdleConnections() throws Exception {
        try (PeerServer peer = openPeer(30_000);
                Socket socket = new Socket("127.0.0.1", peer.port())) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            byte[] request = withLength(FrameCodec.encode(forwardRequest("r1")));
            int partBytes = request.length / 2;
            ByteArrayOutputStream first = new ByteArrayOutputStream();
            first.writeBytes(withLength(FrameCodec.encode(new Hello("suva-1", 1, "suva", "suva-hall", 1))));
            first.writeBytes(withLength(FrameCodec.encode(new Ping(1))));
            first.write(request, 0, partBytes);
            socket.getOutputStream().write(first.toByteArray());
            assertInstanceOf(Hello.class, readMessage(in));
            // The part was sent together with the ping, so it has been read as well.
            assertInstanceOf(Pong.class, readMessage(in));

            peer.closeIdleConnections();
            awaitTasks(otherController);
            socket.getOutputStream().write(request, partBytes, request.length - partBytes);

            Event.PeerRequestReceived received = otherEventSink.next(Event.PeerRequestReceived.class);
            assertEquals("r1", received.request().id());
            otherCalls.finish("r1", new Outcome.NotRun(Failure.of(Step.ROUTE, "any", "full"), 700));
            assertEquals(
                    "not run",
                    assertInstanceOf(ForwardEnd.class, readMessage(in)).outcome());
        }
    }

    private static ForwardRequest forwardRequest(String requestId) {
        return new ForwardRequest(
                requestId,
                1,
                "account",
                CHAT,
                "/",
                "POST",
                "application/json",
                "draft",
                false,
                "",
                false,
                "suva",
                "",
                20_000,
                1,
                1,
                List.of(),
                false,
                List.of("suva-1"),
                "",
                new byte[100]);
    }

    private static byte[] withLength(byte[] frame) {
        return ByteBuffer.allocate(Integer.BYTES + frame.length)
                .putInt(frame.length)
                .put(frame)
                .array();
    }

    private static PeerMessage readMessage(DataInputStream in) throws IOException {
        return FrameCodec.decode(in.readNBytes(in.readInt())).get();
    }

    private CountDownLatch pauseOtherHost() {
        CountDownLatch resume = new CountDownLatch(1);
        otherController.getEventLoopGroup().next().execute(() -> {
            try {
                resume.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return resume;
    }

    /** Waits until each event loop of a host has run the tasks queued so far. */
    private static void awaitTasks(DefaultExecController controller) throws InterruptedException {
        for (EventExecutor loop : controller.getEventLoopGroup()) {
            loop.submit(() -> {}).sync();
        }
    }

    private void forward(Links links, String requestId) {
        Call call = TestFixtures.call(requestId, CHAT, requester);
        Action.StartAttempt start = new Action.StartAttempt(
                requestId,
                1,
                new Route.ToHost("labasa-1", "labasa"),
                call.request().forwardedBy("suva-1", false),
                0,
                call.request().deadlineMillis());
        links.forwardedAttempts().start(call, start, "");
    }

    private AttemptResult nextResult() throws InterruptedException {
        return eventSink.next(Event.AttemptEnded.class).result();
    }

    private Links links(Directory directory, RecordingEventSink recorder, long pingTimeoutMillis) {
        return links(directory, recorder, pingTimeoutMillis, "suva-1");
    }

    private Links links(Directory directory, RecordingEventSink recorder, long pingTimeoutMillis, String host) {
        PeerTimes times = new PeerTimes(5_000, 50, pingTimeoutMillis, 10_000, 10_000, 60_000);
        return new Links(
                new Hello(host, 1, "suva", "suva-hall", 1),
                TestFixtures.resources(controller, recorder),
                directory,
                times,
                SIZES,
                new NoTraffic(),
                1_048_576);
    }

    /** The interaction of two hosts in a test. */
    @FunctionalInterface
    private interface Scenario {
        void run(Links links, PeerServer peer) throws InterruptedException;
    }

    private static final class NoTraffic implements TrafficCounter {
        @Override
        public void sent(PeerMessage message, int bytes) {}

        @Override
        public void received(PeerMessage message, int bytes) {}
    }
}
