package org.rattanplank.core.claim;

import java.util.List;
import java.util.UUID;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Place;
import org.rattanplank.core.request.Answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClaimsTest {
    private static final ClaimResult ANSWERED = new ClaimResult.Answered(ClaimCluster.ANSWER);
    private static final ClaimDecision REPLAY = new ClaimDecision.Kept(ClaimCluster.ANSWER);
    private static final long RECOVERY_MILLIS = 5_000;

    private final ClaimCluster cluster = ClaimCluster.of("a", "b", "c");
    private final ClaimKey key = key(cluster.nowMillis);

    @Test
    void shouldReplayStoredAnswerWhenHostIsKilledAfterAnswer() {
        // Symptom: a fitter repeats a part booking at another host and the parts are ordered twice.
        // Sequence: a books and answers, is killed, and the key comes again at b.
        // Cause: only a knew the key and its answer.
        openAndExpectRun("a", "r1");
        cluster.settle("r1", key, ANSWERED);
        cluster.crash("a");
        cluster.run(RECOVERY_MILLIS);
        assertEquals(REPLAY, retryAt("b"));
        assertEquals(List.of("r1"), cluster.executedRequestIds);
    }

    @Test
    void shouldBeUnknownWhenHostIsKilledWhileItsCallRuns() {
        // Symptom: a booking whose host died after the first byte to the target is made again at another host.
        // Sequence: a is told to run and is killed; the key comes again at b and at c.
        // Cause: the claim was held by the host that ran it alone.
        openAndExpectRun("a", "r1");
        cluster.crash("a");
        assertInstanceOf(ClaimDecision.Unknown.class, retryAt("b"));
        cluster.open("c", key, "r3");
        assertInstanceOf(ClaimDecision.Unknown.class, cluster.decision("r3"));
        assertEquals(List.of("r1"), cluster.executedRequestIds);
    }

    @Test
    void shouldNeverRunAgainWhenWholeDataCentreIsLostWhileCallRuns() {
        // Symptom: after a power cut of the data centre, repeated bookings are made a second time.
        // Sequence: every host is lost while a booking runs; new processes start; the key comes again.
        // Cause: the new hosts take their empty memory for a complete one.
        openAndExpectRun("a", "r1");
        List.of("a", "b", "c").forEach(cluster::crash);
        List.of("a", "b", "c").forEach(cluster::start);
        cluster.run(RECOVERY_MILLIS);
        assertInstanceOf(ClaimDecision.Unknown.class, retryAt("b"));
        cluster.open("b", ClaimKey.of("floor", "no time in it"), "r3");
        ClaimDecision.NotRun refused = assertInstanceOf(ClaimDecision.NotRun.class, cluster.decision("r3"));
        assertTrue(refused.retryAfterMillis() > ClaimLimits.defaults().retentionMillis() / 2);
        cluster.run(3 * RECOVERY_MILLIS);
        cluster.open("c", key(cluster.nowMillis), "r4");
        cluster.deliverAll();
        assertInstanceOf(ClaimDecision.Run.class, cluster.decision("r4"));
    }

    @Test
    void shouldNotRunWhenPausedHostResumesInOldViewWithClaimInProgress() {
        // Symptom: a host frozen for half a minute wakes and makes a booking that another host has made meanwhile.
        // Sequence: the claim of r1 is on its way when a freezes; b and c go on without it and run r2; a wakes.
        // Cause: a goes on in its old view, from which the others have removed it.
        cluster.open("a", key, "r1");
        cluster.pause("a");
        cluster.open("b", key, "r2");
        cluster.run(RECOVERY_MILLIS);
        assertInstanceOf(ClaimDecision.Run.class, cluster.decision("r2"));
        cluster.resume("a");
        cluster.settle("r2", key, ANSWERED);
        cluster.run(RECOVERY_MILLIS);
        assertFalse(cluster.decision("r1") instanceof ClaimDecision.Run);
        assertEquals(List.of("r2"), cluster.executedRequestIds);
        assertTrue(cluster.claims("a").viewNumber() > 0);
    }

    @Test
    void shouldClaimWithoutStoreWhenNoMemberIsLostAndRejectWhenOneIs() {
        // Symptom: bookings stop with the store, or, worse, a lost member's bookings are made again without it.
        // Sequence: the store goes out; bookings and a newcomer come; then a member is killed, and the store is back.
        // Cause: only the store can tell apart two halves that each take the other for lost.
        cluster.store.unavailable = true;
        openAndExpectRun("a", "r1");
        cluster.start("d");
        cluster.run(RECOVERY_MILLIS);
        assertTrue(cluster.claims("d").viewNumber() > 0);
        cluster.crash("a");
        cluster.run(1_000);
        ClaimKey fresh = key(cluster.nowMillis);
        cluster.open("d", fresh, "r2");
        cluster.run(1_000);
        assertTrue(assertInstanceOf(ClaimDecision.NotRun.class, cluster.decision("r2"))
                        .retryAfterMillis()
                > 0);
        cluster.store.unavailable = false;
        cluster.run(RECOVERY_MILLIS);
        cluster.open("d", key, "r3");
        assertInstanceOf(ClaimDecision.Unknown.class, cluster.decision("r3"));
        cluster.open("b", fresh, "r4");
        cluster.deliverAll();
        assertEquals(List.of("r1", "r4"), cluster.executedRequestIds);
    }

    @Test
    void shouldFormViewOnceWhenWriteTookEffectButAnswerWasLost() {
        // Symptom: after a store's time-out two hosts each hold a view of their own, or none ever does again.
        // Sequence: a is killed; the write that removes it takes effect and its answer is lost.
        // Cause: the writer takes silence for failure and goes on in the old view.
        openAndExpectRun("a", "r1");
        cluster.crash("a");
        cluster.run(300);
        for (int i = 0; i < 100 && !cluster.hasStoreCall(); i++) {
            cluster.nowMillis += 50;
            cluster.tick();
        }
        assertTrue(cluster.serveStoreCall(true));
        assertEquals(0, cluster.claims("b").viewNumber());
        cluster.run(RECOVERY_MILLIS);
        assertEquals(3, cluster.claims("b").viewNumber());
        assertEquals(3, cluster.claims("c").viewNumber());
        assertInstanceOf(ClaimDecision.Unknown.class, retryAt("c"));
    }

    @Test
    void shouldRunOnceWhenPartitionedHostReachesCallersButNotStore() {
        // Symptom: hosts cut off from one another both make the same booking.
        // Sequence: a is cut from b, c and the store but still reaches callers and targets; the key comes at both
        // sides.
        // Cause: one side takes the view over because the other is silent.
        List.of("b", "c", "store").forEach(other -> partitionFromA(other));
        cluster.open("a", key, "r1");
        cluster.open("b", key, "r2");
        cluster.run(RECOVERY_MILLIS);
        assertInstanceOf(ClaimDecision.NotRun.class, cluster.decision("r1"));
        assertEquals(List.of("r2"), cluster.executedRequestIds);
        cluster.healPartitions();
        cluster.run(RECOVERY_MILLIS);
        assertTrue(cluster.claims("a").viewNumber() > 0);
    }

    @Test
    void shouldNotTakeOverViewWhenOldMembersAreUnreachableButNotTerminated() {
        // Symptom: a newcomer that cannot reach the old hosts makes bookings that they make too.
        // Sequence: d starts, cut off from all; the old hosts are silent to it; only later does the list drop them.
        // Cause: silence is taken for an end.
        cluster.updateHostList(hosts("a", "b", "c", "d"));
        List.of("a", "b", "c").forEach(other -> cluster.partition("d", other));
        cluster.start("d");
        cluster.updateHostList(hosts("a", "b", "c", "d"));
        cluster.run(10 * RECOVERY_MILLIS);
        assertEquals(0, cluster.claims("d").viewNumber());
        List.of("a", "b", "c").forEach(cluster::crash);
        cluster.updateHostList(hosts("d"));
        cluster.run(RECOVERY_MILLIS);
        assertEquals(ClaimView.TAKEOVER_STRIDE + 2, cluster.claims("d").viewNumber());
    }

    @Test
    void shouldReadStoreBeforeClaimingWhenOnlyMemberWasPaused() {
        // Symptom: a lone host that was frozen makes bookings beside the host that has replaced it.
        // Sequence: b has taken over on the list's word that a was gone; a wakes and gets a key.
        // Cause: alone in its view, a needs nobody's copy and does not notice that it was replaced.
        ClaimCluster lone = ClaimCluster.of("a");
        lone.updateHostList(hosts("a", "b"));
        lone.pause("a");
        lone.partition("a", "b");
        lone.start("b");
        lone.updateHostList(hosts("a", "b"));
        lone.run(RECOVERY_MILLIS);
        lone.run(ClaimLimits.defaults().hostListLagMillis());
        lone.claims("b").listed(hosts("b"), lone.nowMillis);
        lone.run(3 * RECOVERY_MILLIS);
        assertTrue(lone.claims("b").viewNumber() > 0);
        lone.resume("a");
        ClaimKey fresh = key(lone.nowMillis);
        lone.open("a", fresh, "r1");
        lone.open("b", fresh, "r2");
        lone.run(RECOVERY_MILLIS);
        assertEquals(List.of("r2"), lone.executedRequestIds);
    }

    @Test
    void shouldRunNextRequestWhenCallDidNotRunAndReplayItsAnswerToWaiters() {
        openAndExpectRun("a", "r1");
        cluster.open("b", key, "r2");
        cluster.deliverAll();
        cluster.settle("r1", key, new ClaimResult.NotRun());
        cluster.run(1_000);
        assertEquals(List.of("r1", "r2"), cluster.executedRequestIds);
        cluster.open("c", key, "r3");
        cluster.run(1_000);
        cluster.settle("r2", key, ANSWERED);
        cluster.deliverAll();
        assertEquals(REPLAY, cluster.decision("r3"));
    }

    @Test
    void shouldReleaseClaimWhenRequestWasAbandonedBeforeItsGrantArrived() {
        // Symptom: every repeat of a key waits until its deadline, though nothing runs.
        // Sequence: r1 is given up on while its claim is copied; its right to run comes afterwards.
        // Cause: the late right is dropped, and the members go on holding the key for r1.
        cluster.open("a", key, "r1");
        assertInstanceOf(ClaimDecision.NotRun.class, cluster.claims("a").abandon(key, "r1", cluster.nowMillis));
        cluster.run(1_000);
        cluster.open("b", key, "r2");
        cluster.run(1_000);
        assertEquals(List.of("r2"), cluster.executedRequestIds);
        cluster.open("c", key, "r3");
        assertInstanceOf(ClaimDecision.Unknown.class, cluster.claims("c").abandon(key, "r3", cluster.nowMillis));
    }

    @Test
    void shouldRejectWhenAbandonedRequestIsOpenedAgain() {
        // Symptom: two hosts send each other claims as fast as they can, and the caller hears nothing.
        // Sequence: a request is given up on; the same request comes to the same host again.
        // Cause: its primary answers with the old end, at which the host asks again.
        for (String host : List.of("a", "b", "c")) {
            cluster.open(host, key, "r " + host);
            cluster.claims(host).abandon(key, "r " + host, cluster.nowMillis);
            cluster.run(1_000);
            cluster.open(host, key, "r " + host);
            cluster.deliverAll();
            assertInstanceOf(ClaimDecision.NotRun.class, cluster.decision("r " + host));
        }
    }

    @Test
    void shouldRejectNewKeysWhenTableIsFullAndKeepClaimsUntilTheyExpire() {
        ClaimCluster small = new ClaimCluster(
                TakeoverRule.SURVIVOR_REQUIRED, ClaimLimits.defaults().withMaxClaims(1));
        small.start("a");
        small.run(RECOVERY_MILLIS);
        small.open("a", key, "r1");
        small.settle("r1", key, ANSWERED);
        small.open("a", key(small.nowMillis + 1), "r2");
        assertTrue(assertInstanceOf(ClaimDecision.NotRun.class, small.decision("r2"))
                        .retryAfterMillis()
                > 0);
        small.run(ClaimLimits.defaults().retentionMillis() - RECOVERY_MILLIS);
        small.open("a", key, "r3");
        assertEquals(REPLAY, small.decision("r3"));
        small.run(6 * RECOVERY_MILLIS);
        small.open("a", key, "r4");
        assertInstanceOf(ClaimDecision.Unknown.class, small.decision("r4"));
        small.open("a", key(small.nowMillis), "r5");
        assertEquals(List.of("r1", "r5"), small.executedRequestIds);
    }

    @Test
    void shouldBeUnknownWhenAnswerWasStreamedOrTooLarge() {
        openAndExpectRun("a", "r1");
        cluster.settle("r1", key, new ClaimResult.Answered(Answer.ofStream(200, "text/event-stream")));
        cluster.deliverAll();
        assertInstanceOf(ClaimDecision.Unknown.class, retryAt("b"));
        ClaimKey other = key(cluster.nowMillis);
        cluster.open("a", other, "r3");
        cluster.deliverAll();
        byte[] large = new byte[ClaimLimits.defaults().maxAnswerBytes() + 1];
        cluster.settle("r3", other, new ClaimResult.Answered(Answer.of(200, "text/plain", large)));
        cluster.deliverAll();
        cluster.open("c", other, "r4");
        assertInstanceOf(ClaimDecision.Unknown.class, cluster.decision("r4"));
    }

    @Test
    void shouldKeepClaimsWhenHostsLeaveInTurnWhileStoreIsUnavailable() {
        // Symptom: after a rolling replacement during an outage of the store, a booking is made again.
        // Sequence: the store is out; d joins; a, b and c leave in turn; c, the last that the store names, may not.
        // Cause: once none that the store names is left, a new host finds them ended and starts a view of its own.
        openAndExpectRun("a", "r1");
        cluster.settle("r1", key, ANSWERED);
        cluster.store.unavailable = true;
        cluster.start("d");
        cluster.run(RECOVERY_MILLIS);
        for (String host : List.of("a", "b")) {
            cluster.leave(host);
            cluster.run(RECOVERY_MILLIS);
            assertTrue(cluster.claims(host).hasLeft());
            cluster.crash(host);
        }
        cluster.leave("c");
        cluster.run(RECOVERY_MILLIS);
        assertFalse(cluster.claims("c").hasLeft());
        cluster.store.unavailable = false;
        cluster.run(RECOVERY_MILLIS);
        assertTrue(cluster.claims("c").hasLeft());
        assertEquals(REPLAY, retryAt("d"));
    }

    @Test
    void shouldRejectWithRetryDelayWhenStoreIsUnavailableAtFirstStart() {
        ClaimCluster first = new ClaimCluster(TakeoverRule.SURVIVOR_REQUIRED, ClaimLimits.defaults());
        first.store.unavailable = true;
        first.start("a");
        first.run(1_000);
        first.open("a", key(first.nowMillis), "r1");
        assertTrue(assertInstanceOf(ClaimDecision.NotRun.class, first.decision("r1"))
                        .retryAfterMillis()
                > 0);
        first.store.unavailable = false;
        first.run(RECOVERY_MILLIS);
        first.open("a", key(first.nowMillis), "r2");
        assertEquals(List.of("r2"), first.executedRequestIds);
    }

    private void openAndExpectRun(String host, String requestId) {
        cluster.open(host, key, requestId);
        cluster.deliverAll();
        assertInstanceOf(ClaimDecision.Run.class, cluster.decision(requestId));
    }

    private ClaimDecision retryAt(String host) {
        cluster.open(host, key, "repeat");
        cluster.run(RECOVERY_MILLIS);
        return cluster.decision("repeat");
    }

    private void partitionFromA(String other) {
        if (other.equals("store")) {
            cluster.partitionFromStore("a");
        } else {
            cluster.partition("a", other);
        }
    }

    private static HostList hosts(String... names) {
        Place place = Place.of("suva", "suva-hall");
        return new HostList(
                names.length,
                List.of(names).stream()
                        .map(name -> new ListedHost(name, HostRole.ENTRY, place, "127.0.0.1", 1, 2, "", false))
                        .toList());
    }

    static ClaimKey key(long madeAtMillis) {
        return ClaimKey.of("floor", timestampedKey(madeAtMillis));
    }

    static String timestampedKey(long millis) {
        return new UUID((millis << 16) | 0x7000L, 0x8000_0000_0000_0001L).toString();
    }
}
