package org.rattanplank.gateway;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;
import org.rattanplank.gateway.target.AttemptFailure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What a host does for hosts of other regions. */
@Timeout(60)
class PeerFlowTest {
    /** Longer than a link may be silent. */
    private static final long LONG_PAUSE_MILLIS = 2_000;

    /** A stopping host serves callers for a shorter time. */
    private static final long STOP_PAUSE_MILLIS = 2_000;

    private TestGateway gateway;

    @BeforeEach
    void startGateway() throws IOException {
        gateway = new TestGateway();
    }

    @AfterEach
    void closeGateway() {
        gateway.close();
    }

    @Test
    void shouldServeAForwardedRequestWhenItHasTimeLeft() throws Exception {
        try (TestTarget target = new TestTarget(
                        (request, out) -> TestTarget.write(out, TestTarget.answer(request, 200, "one")));
                TestPeer peer = gateway.peer()) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());

            peer.ask("q1", 20_000, peer.await(PeerFrame.State.class));

            assertEquals(200, peer.await(PeerFrame.AnswerHead.class).status());
        }
    }

    /**
     * Symptom: a target runs a request seconds after its caller's time was up. Sequence: another region forwards it with
     * little time left, and it is read after that time: the link is crowded, or this host is behind with its work. Cause:
     * the time left counted from the moment at which it was read.
     */
    @Test
    void shouldSendNothingWhenAForwardedRequestArrivesAfterItsDeadline() throws Exception {
        try (TestTarget target = new TestTarget(
                        (request, out) -> TestTarget.write(out, TestTarget.answer(request, 200, "one")));
                TestPeer peer = gateway.peer()) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());
            PeerFrame.State heard = peer.await(PeerFrame.State.class);
            long timeLeftMillis = 300;
            Thread.sleep(2 * timeLeftMillis);

            peer.ask("q1", timeLeftMillis, heard);

            assertEquals(
                    AttemptFailure.NOT_SENT.name(),
                    peer.await(PeerFrame.AnswerFailed.class).failure());
            assertEquals(0, target.unreadRequests());
        }
    }

    /**
     * Symptom: a host that stood still for two seconds drops its links and ends the calls on them. Sequence: it goes on
     * with its steps in time before it reads what the other hosts sent meanwhile. Cause: silence was counted to now, not
     * to the last moment up to which everything was read.
     */
    @Test
    void shouldKeepALinkWhenThisHostPausedAndHasNotReadYet() throws Exception {
        try (TestPeer peer = gateway.peer()) {
            peer.sayItKnows(0, 1);
            gateway.awaitLogged("\"event\":\"peer_connected\"");
            CountDownLatch goOn = gateway.pauseBeforeTimers();
            Thread.sleep(LONG_PAUSE_MILLIS);
            peer.sayItKnows(0, 1);
            goOn.countDown();
            gateway.awaitLogged("\"event\":\"loop_late\"");

            assertEquals(0, gateway.countLogged("\"event\":\"peer_lost\""));
        }
    }

    /**
     * Symptom: a booking's outcome is unknown when a host of another region is replaced. Sequence: it is forwarded over a
     * link whose other end has just ended. Cause: the end of a link told nothing of what had been taken over it.
     */
    @Test
    void shouldAnswerServiceUnavailableWhenThePeerTerminatedBeforeAcceptingTheRequest() throws Exception {
        gateway.configure(RouteKind.UNSAFE, false, 1);
        try (TestPeer peer = gateway.peer()) {
            peer.sayItServes("desk");
            gateway.awaitLogged("\"event\":\"peer_connected\"");
            TestCaller caller = gateway.caller();
            caller.send("POST /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q1\r\nTime-Left: 5000\r\n"
                    + "Content-Length: 4\r\n\r\nseal");
            peer.await(PeerFrame.Ask.class);

            peer.leave(0);
            peer.close();

            String answer = caller.readUntil("\r\n\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        }
    }

    /**
     * The same seen from the host that ends: requests of other hosts that have come are answered, and the last frame tells
     * which was the last that was taken.
     */
    @Test
    void shouldAnswerReceivedRequestsAndReportTheLastCallWhenItStops() throws Exception {
        try (TestTarget target = new TestTarget(
                        (request, out) -> TestTarget.write(out, TestTarget.answer(request, 200, "one")));
                TestPeer peer = gateway.peer()) {
            gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());
            PeerFrame.State heard = peer.await(PeerFrame.State.class);
            TestGateway.EventLoopPause standstill = gateway.stopAndPause(STOP_PAUSE_MILLIS);
            standstill.awaitLastRead();
            peer.ask("q1", 20_000, heard);
            standstill.resume();

            assertEquals(200, peer.await(PeerFrame.AnswerHead.class).status());
            assertEquals(1, peer.await(PeerFrame.Leaving.class).lastCall());
            assertTrue(peer.readsToTheEnd());
        }
    }

    /**
     * Symptom: callers are refused while targets are idle. Sequence: the store is away; hosts of two regions are restarted
     * in turn; the third region's data centre is being evacuated. Cause: a host that starts learnt nothing from hosts that
     * had lost the store as well, so none of two regions took requests until it was back.
     */
    @Test
    void shouldSendStoreItemsToAStartingHostWhenTheStoreIsUnavailable() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        gateway.loseStore();
        gateway.awaitStoreLost();
        try (TestPeer peer = gateway.peer()) {
            peer.sayItKnowsNothing();

            assertEquals(1, peer.await(PeerFrame.StoreItems.class).items().size());
        }
    }
}
