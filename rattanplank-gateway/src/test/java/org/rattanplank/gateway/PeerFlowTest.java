package org.rattanplank.gateway;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;
import org.rattanplank.gateway.target.AttemptFailure;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** What a host does for hosts of other regions. */
@Timeout(60)
class PeerFlowTest {
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
    void shouldServeARequestOfAnotherRegionWhenItHasTimeLeft() throws Exception {
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
    void shouldSendNothingWhenARequestOfAnotherRegionComesAfterItsTime() throws Exception {
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
            assertEquals(0, target.requestsLeft());
        }
    }

    /**
     * Symptom: callers are refused while targets are idle. Sequence: the store is away; hosts of two regions are restarted
     * in turn; the third region's data centre is being evacuated. Cause: a host that starts learnt nothing from hosts that
     * had lost the store as well, so none of two regions took requests until it was back.
     */
    @Test
    void shouldTellAHostThatHasJustStartedWhatItKnowsWhenTheStoreIsAway() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        gateway.loseStore();
        gateway.awaitStoreLost();
        try (TestPeer peer = gateway.peer()) {
            peer.sayItKnowsNothing();

            assertEquals(1, peer.await(PeerFrame.StoreItems.class).items().size());
        }
    }
}
