package org.rattanplank.daemon.peer;

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
import org.rattanplank.daemon.RecordingEvents;
import org.rattanplank.daemon.TestHosts;
import org.rattanplank.daemon.TestHosts.RecordingAsker;
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.call.Calls;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.schema.message.Heartbeat;
import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.PeerMessage;
import ratpack.exec.internal.DefaultExecController;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class LinksTest {
    private static final PeerSizes SIZES = new PeerSizes(1_048_576, 4_194_304, 10);
    private static final String CHAT = TestHosts.CHAT;

    private final DefaultExecController controller = new DefaultExecController(2);
    private final DefaultExecController otherController = new DefaultExecController(1);
    private final RecordingEvents events = new RecordingEvents();
    private final RecordingEvents otherEvents = new RecordingEvents();
    private final Calls otherCalls = Calls.of(10);
    private final RecordingAsker asker = new RecordingAsker();

    @AfterEach
    void close() {
        controller.close();
        otherController.close();
    }

    @Test
    void shouldCarryMessagesAndAnswersWhenLinkIsUp() {
        withPeer(30_000, (links, peer) -> {
            links.send("labasa-1", heartbeat());
            Event.PeerConnected connected = events.next(Event.PeerConnected.class);
            assertEquals("labasa-1", connected.host());
            assertInstanceOf(
                    Heartbeat.class,
                    otherEvents.next(Event.MessageReceived.class).message());

            forward(links, "r1");
            Event.PeerRequestReceived asked = otherEvents.next(Event.PeerRequestReceived.class);
            assertEquals(List.of("suva-1"), asked.request().passedHosts());
            Call call = otherCalls.find("r1").get();
            call.begin(1, false, "r1.1.1");
            call.relay(1, 0, "id: 0\ndata: p\n\n".getBytes(), List.of("t1"));
            otherCalls.finish(
                    "r1", new Outcome.Answered(Answer.ofStream(200, "text/event-stream"), List.of("labasa-1", "t1")));
            AttemptResult.Whole whole = assertInstanceOf(AttemptResult.Whole.class, ended());
            assertEquals(List.of("t1"), whole.path());
            assertEquals(List.of("id: 0\ndata: p\n\n"), asker.parts());

            forward(links, "r2");
            otherEvents.next(Event.PeerRequestReceived.class);
            byte[] large = new byte[600_000];
            otherCalls.finish(
                    "r2", new Outcome.Answered(Answer.of(200, "application/json", large), List.of("labasa-1", "t1")));
            AttemptResult.Whole unary = assertInstanceOf(AttemptResult.Whole.class, ended());
            assertArrayEquals(large, unary.answer().body());

            forward(links, "r3");
            otherEvents.next(Event.PeerRequestReceived.class);
            otherCalls.finish("r3", new Outcome.NotRun(Failure.of(Step.ROUTE, "any", "full"), 700));
            assertEquals(new AttemptResult.NotRun(Failure.of(Step.ROUTE, "any", "full"), 700), ended());
        });
    }

    /*
     * Symptom: forwarded quotes hang until their callers' deadlines after something between two regions was restarted.
     * Sequence: the link stays open at both ends, but brings nothing any more.
     * Cause: nobody asks the other end for a sign of life.
     */
    @Test
    void shouldLoseForwardedRequestWhenLinkGoesSilent() throws Exception {
        byte[] hello = FrameCodec.encode(new Hello("labasa-1", 1, "labasa", "labasa-hall", 1));
        try (RawServer silent = RawServer.of(connection -> {
            connection.writeFrame(hello);
            connection.awaitClose();
        })) {
            Links links = links(TestHosts.directory("labasa-1", silent.port()), events, 300);
            forward(links, "r1");
            assertInstanceOf(AttemptResult.Lost.class, ended());
            Event.PeerLost lost = events.next(Event.PeerLost.class);
            assertEquals(new Event.PeerLost("labasa-1", false), lost);
            links.close();
        }
    }

    /*
     * Symptom: a request is settled as unknown although it never left, or a host counts as gone that is only cut off.
     * Sequence: nothing listens at the address; or another host has got the address.
     * Cause: a refusal, a silence and a stranger's answer are reported alike.
     */
    @Test
    void shouldSayNotRunAndWhetherRefusedWhenLinkCannotBeMade() throws Exception {
        Links refused = links(TestHosts.directory("labasa-1", RawServer.freePort()), events, 30_000);
        forward(refused, "r1");
        assertInstanceOf(AttemptResult.NotRun.class, ended());
        assertEquals(new Event.PeerLost("labasa-1", true), events.next(Event.PeerLost.class));

        byte[] stranger = FrameCodec.encode(new Hello("suva-9", 1, "suva", "suva-hall", 1));
        try (RawServer other = RawServer.of(connection -> {
            connection.writeFrame(stranger);
            connection.awaitClose();
        })) {
            Links links = links(TestHosts.directory("labasa-1", other.port()), events, 30_000);
            forward(links, "r2");
            assertInstanceOf(AttemptResult.NotRun.class, ended());
            assertEquals(new Event.PeerLost("labasa-1", false), events.next(Event.PeerLost.class));
            assertEquals(0, events.count(Event.PeerConnected.class));
        }
    }

    /*
     * Symptom: the far region's targets work on for callers who have gone.
     * Sequence: an attempt is cancelled; or the asking host's link breaks.
     * Cause: the host that serves the request is not told, or does not look at its link.
     */
    @Test
    void shouldTellAskerLeftWhenForwardIsCancelledOrLinkBreaks() {
        withPeer(30_000, (links, peer) -> {
            forward(links, "r1");
            otherEvents.next(Event.PeerRequestReceived.class);
            links.forwards().cancel("r1", 1);
            assertEquals(new Event.RequesterLeft("r1"), otherEvents.next(Event.RequesterLeft.class));
            forward(links, "r2");
            otherEvents.next(Event.PeerRequestReceived.class);
            links.close();
            assertEquals(new Event.RequesterLeft("r2"), otherEvents.next(Event.RequesterLeft.class));
            assertInstanceOf(AttemptResult.Lost.class, ended());
            assertEquals(0, otherCalls.size());
        });
    }

    private static PeerMessage heartbeat() {
        return Try.of(() -> new ObjectMapper(new MessagePackFactory()).writeValueAsBytes(Map.of("kind", "Heartbeat")))
                .flatMap(FrameCodec::decode)
                .get();
    }

    private void withPeer(long pingTimeoutMillis, Scenario scenario) {
        Links otherLinks = links(Directory.empty(), otherEvents, pingTimeoutMillis, "labasa-1");
        PeerServer peer = PeerServer.open(
                        "127.0.0.1", 0, otherController.getEventLoopGroup(), otherLinks, otherCalls, otherEvents)
                .get();
        Links links = links(TestHosts.directory("labasa-1", peer.port()), events, pingTimeoutMillis);
        try (peer) {
            scenario.play(links, peer);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        links.close();
    }

    /*
     * Symptom: a booking's outcome is unknown when the host that it is forwarded to is replaced.
     * Sequence: that host stands still at the end of its stop; the request comes; when it goes on, it ends.
     * Cause: the stop was over when the answers that were due had left, whatever waited unread on its links.
     */
    @Test
    void shouldTakeARequestThatHasComeWhenTheOtherHostEndsWhatIsIdle() {
        withPeer(30_000, (links, peer) -> {
            forward(links, "r1");
            otherEvents.next(Event.PeerRequestReceived.class);
            otherCalls.finish("r1", new Outcome.NotRun(Failure.of(Step.ROUTE, "any", "full"), 700));
            ended();
            CountDownLatch goOn = holdTheOtherHost();

            peer.end();
            forward(links, "r2");
            awaitSent();
            goOn.countDown();

            assertEquals(
                    "r2",
                    otherEvents.next(Event.PeerRequestReceived.class).request().id());
            otherCalls.finish("r2", new Outcome.NotRun(Failure.of(Step.ROUTE, "any", "full"), 700));
            assertInstanceOf(AttemptResult.NotRun.class, ended());
            while (!peer.end()) {
                Thread.onSpinWait();
            }
        });
    }

    private CountDownLatch holdTheOtherHost() {
        CountDownLatch released = new CountDownLatch(1);
        otherController.getEventLoopGroup().next().execute(() -> {
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return released;
    }

    /** Waits until each event loop of this host has done what it was told before. */
    private void awaitSent() throws InterruptedException {
        for (EventExecutor loop : controller.getEventLoopGroup()) {
            loop.submit(() -> {}).sync();
        }
    }

    private void forward(Links links, String requestId) {
        Call call = TestHosts.call(requestId, CHAT, asker);
        Action.StartAttempt start = new Action.StartAttempt(
                requestId,
                1,
                new Route.ToHost("labasa-1", "labasa"),
                call.request().passedBy("suva-1", false),
                0,
                call.request().deadlineMillis());
        links.forwards().start(call, start, "");
    }

    private AttemptResult ended() throws InterruptedException {
        return events.next(Event.AttemptEnded.class).result();
    }

    private Links links(Directory directory, RecordingEvents heard, long pingTimeoutMillis) {
        return links(directory, heard, pingTimeoutMillis, "suva-1");
    }

    private Links links(Directory directory, RecordingEvents heard, long pingTimeoutMillis, String host) {
        PeerTimes times = new PeerTimes(5_000, 50, pingTimeoutMillis, 10_000, 10_000, 60_000);
        return new Links(
                new Hello(host, 1, "suva", "suva-hall", 1),
                TestHosts.resources(controller, heard),
                directory,
                times,
                SIZES,
                new NoTraffic(),
                1_048_576);
    }

    /** What two hosts do. */
    @FunctionalInterface
    private interface Scenario {
        void play(Links links, PeerServer peer) throws InterruptedException;
    }

    private static final class NoTraffic implements Traffic {
        @Override
        public void sent(PeerMessage message, int bytes) {}

        @Override
        public void received(PeerMessage message, int bytes) {}
    }
}
