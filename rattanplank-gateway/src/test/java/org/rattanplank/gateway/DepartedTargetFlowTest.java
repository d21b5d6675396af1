package org.rattanplank.gateway;

import java.io.IOException;
import java.util.List;

import io.vavr.control.Option;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;
import org.rattanplank.gateway.store.StoreContents;
import org.rattanplank.gateway.store.StoreCopy;
import org.rattanplank.gateway.store.StoreItem;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that no request is sent to a target that has left, however a host learns of the store. */
@Timeout(60)
class DepartedTargetFlowTest {
    private static final long REPORT_MILLIS = 100;
    private static final int MAX_REPORTS = 100;

    private TestGateway gateway;

    @BeforeEach
    void startGateway() throws IOException {
        gateway = new TestGateway();
    }

    @AfterEach
    void closeGateway() {
        gateway.close();
    }

    /**
     * Guards against a removed target that comes back from a host whose listing is older. Symptom: one host sends requests to
     * a target that left before the host listed the store, and nothing removes it there any more.
     */
    @Test
    void shouldSendNothingToADepartedTargetWhenAnotherHostStillHasIt() throws Exception {
        try (TestTarget target = TestTarget.answering("done");
                TestPeer stale = gateway.sameRegionPeer("stale")) {
            gateway.configure(RouteKind.SAFE, false, 1);
            StoreItem entry = gateway.departedTarget("t1", target.port());
            stale.await(PeerFrame.State.class);
            long receivedBytes = gateway.metric("peer_bytes_received");

            stale.sendStoreItems(StoreContents.all(entry.revision(), List.of(entry)));
            gateway.awaitReceived((int) receivedBytes + 1);

            String answer = gateway.caller()
                    .send("GET /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q1\r\nTime-Left: 5000\r\n\r\n")
                    .readUntil("\r\n\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertEquals(0, target.unreadRequests());
        }
    }

    /**
     * Guards against a target that stays in use at a host because its relay has listed the store after the target had left,
     * and tells only what it has itself seen to change.
     */
    @Test
    void shouldTellAHostThatATargetHasLeftWhenItHasNeverKnownTheTargetItself() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        StoreItem entry = gateway.departedTarget("t1", 1);
        StoreCopy follower = new StoreCopy();
        follower.merge(StoreContents.all(entry.revision(), List.of(entry)));
        try (TestPeer peer = gateway.sameRegionPeer("follower")) {
            Thread reports = new Thread(() -> reportUntilInterrupted(peer, entry.revision()));
            reports.start();

            peer.mergeUntilComplete(follower, entry.revision() + 1);
            reports.interrupt();
            reports.join();
        }

        assertTrue(follower.items().stream().noneMatch(item -> item.key().equals(entry.key())));
    }

    /**
     * Guards against a departed target that a host keeps without end for whatever reason, such as changes relayed by a host of
     * an earlier version: its copy of the store differs from that of others at the same revision.
     */
    @Test
    void shouldForgetADepartedTargetWhenAHostThatWatchesTheStoreLacksIt() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        StoreItem entry = gateway.untoldTarget("t1", 1);
        try (TestPeer peer = gateway.sameRegionPeer("watcher")) {
            peer.drainInBackground();
            peer.sendStoreItems(StoreContents.some(List.of(entry)));
            gateway.awaitTargets(1);
            gateway.putBytes("other", 1);
            for (int i = 0; gateway.countLogged("target_gone") == 0 && i < MAX_REPORTS; i++) {
                peer.reportWatching(entry.revision() + 2);
                Thread.sleep(REPORT_MILLIS);
            }
        }

        gateway.awaitTargets(0);
        gateway.awaitLogged("\"event\":\"store_differs\"");
    }

    /**
     * Guards against a host that believes in a departed target until its watch of the store times out, as the connection of
     * the watch has died.
     */
    @Test
    void shouldForgetADepartedTargetWhenItsWatchIsSilent() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1).target("t1", 1);
        gateway.silenceWatches();
        gateway.removeTarget("t1");
        try (TestPeer peer = gateway.sameRegionPeer("watcher")) {
            peer.drainInBackground();
            for (int i = 0; gateway.countLogged("store_watch_silent") == 0 && i < MAX_REPORTS; i++) {
                peer.reportWatching(gateway.storeRevision());
                Thread.sleep(REPORT_MILLIS);
            }
        }

        gateway.awaitTargets(0);
    }

    /** Guards against a host to which nobody relays, as it reports that it watches the store, which doesn't answer it. */
    @Test
    void shouldReportThatTheStoreDoesNotAnswerWhenItsWatchIsSilent() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        gateway.silenceWatches();
        gateway.silenceLists();
        gateway.putBytes("other", 1);
        boolean reported = false;
        try (TestPeer peer = gateway.sameRegionPeer("watcher")) {
            for (int i = 0; !reported && i < MAX_REPORTS; i++) {
                peer.reportWatching(gateway.storeRevision());
                reported = !peer.await(PeerFrame.State.class).storeHealthy();
            }
        }

        assertTrue(reported);
    }

    /**
     * Guards against a departed target that was told ahead of other changes: the host that completes them judged by an older
     * report of this host, and has itself never known the target.
     */
    @Test
    void shouldForgetADepartedTargetWhenTheRelayHasNeverKnownIt() throws Exception {
        gateway.configure(RouteKind.SAFE, false, 1);
        StoreItem entry = gateway.untoldTarget("t1", 1);
        try (TestPeer peer = gateway.sameRegionPeer("relay")) {
            peer.sendStoreItems(StoreContents.some(List.of(entry)));
            gateway.awaitTargets(1);
            long removedRevision = entry.revision() + 1;
            peer.sendStoreItems(new StoreContents(
                    entry.revision() - 1, removedRevision, removedRevision, List.of(), Option.none()));

            gateway.awaitTargets(0);
        }
    }

    private static void reportUntilInterrupted(TestPeer peer, long revision) {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                peer.reportState(1, revision);
                Thread.sleep(REPORT_MILLIS);
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
