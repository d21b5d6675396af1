package org.rattanplank.core.claim;

import java.util.List;
import java.util.UUID;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.request.Answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClaimsTest {
    private static final ClaimResult ANSWERED = new ClaimResult.Answered(ClaimCluster.ANSWER);
    private static final ClaimDecision REPLAY = new ClaimDecision.Replay(ClaimCluster.ANSWER);
    private static final long RECOVERY_MILLIS = 5_000;

    private final ClaimCluster cluster = ClaimCluster.of("a", "b", "c");
    private final ClaimKey key = key(cluster.nowMillis);

    @Test
    void shouldReplayStoredAnswerWhenHostIsKilledAfterAnswer() {
        // Symptom: a retried booking runs at another host and parts are ordered twice.
        // Sequence: a runs the booking and answers, then is killed; b receives a retry with the same key.
        // Cause: only a held the key and its answer.
        openAndExpectRun("a", "r1");
        cluster.settle("r1", key, ANSWERED);
        cluster.crash("a");
        cluster.run(RECOVERY_MILLIS);
        assertEquals(REPLAY, retryAt("b"));
        assertEquals(List.of("r1"), cluster.executedRequestIds);
    }

    @Test
    void shouldBeUnknownWhenHostIsKilledWhileItsCallRuns() {
        // Symptom: a booking whose host died after the first byte to the target runs again at another host.
        // Sequence: a is allowed to run and is killed; b and c receive retries.
        // Cause: the claim was held only by the host that ran the call.
        openAndExpectRun("a", "r1");
        cluster.crash("a");
        assertInstanceOf(ClaimDecision.Unknown.class, retryAt("b"));
        cluster.open("c", key, "r3");
        assertInstanceOf(ClaimDecision.Unknown.class, cluster.decision("r3"));
        assertEquals(List.of("r1"), cluster.executedRequestIds);
    }

    @Test
    void shouldNeverRunAgainWhenWholeDataCentreIsLostWhileCallRuns() {
        // Symptom: after a power failure of the data centre, retried bookings run a second time.
        // Sequence: every host terminates while a booking runs; new processes start; the key is retried.
        // Cause: the new hosts consider their empty claim tables complete.
        openAndExpectRun("a", "r1");
        List.of("a", "b", "c").forEach(cluster::crash);
        List.of("a", "b", "c").forEach(cluster::start);
        cluster.run(RECOVERY_MILLIS);
        assertInstanceOf(ClaimDecision.Unknown.class, retryAt("b"));
        cluster.open("b", ClaimKey.of("floor", "no time in it"), "r3");
        ClaimDecision.NotRun rejected = assertInstanceOf(ClaimDecision.NotRun.class, cluster.decision("r3"));
        assertTrue(rejected.retryAfterMillis() > ClaimLimits.defaults().retentionMillis() / 2);
        cluster.run(3 * RECOVERY_MILLIS);
        cluster.open("c", key(cluster.nowMillis), "r4");
        cluster.deliverAll();
        assertInstanceOf(ClaimDecision.Run.class, cluster.decision("r4"));
    }

    @Test
    void shouldNotRunWhenPausedHostResumesInOldViewWithClaimInProgress() {
        // Symptom: a host that was frozen for half a minute resumes and runs a booking that another host has run
        // meanwhile.
        // Sequence: the claim of r1 is in flight when a freezes; b and c continue without it and run r2; a resumes.
        // Cause: a continues in its old view, from which the others have removed it.
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
        // Symptom: bookings stop when the store is unavailable, or a lost member's bookings run again without the
        // store.
        // Sequence: the store becomes unavailable; bookings and a joining host arrive; then a member is killed, and the
        // store recovers.
        // Cause: only the store can decide between two halves that each consider the other lost.
        cluster.store.unavailable = true;
        openAndExpectRun("a", "r1");
        cluster.start("d");
        cluster.run(RECOVERY_MILLIS);
        assertTrue(cluster.claims("d").viewNumber() > 0);
        cluster.crash("a");
        cluster.run(1_000);
        ClaimKey newKey = key(cluster.nowMillis);
        cluster.open("d", newKey, "r2");
        cluster.run(1_000);
        assertTrue(assertInstanceOf(ClaimDecision.NotRun.class, cluster.decision("r2"))
                        .retryAfterMillis()
                > 0);
        cluster.store.unavailable = false;
        cluster.run(RECOVERY_MILLIS);
        cluster.open("d", key, "r3");
        assertInstanceOf(ClaimDecision.Unknown.class, cluster.decision("r3"));
        cluster.open("b", newKey, "r4");
        cluster.deliverAll();
        assertEquals(List.of("r1", "r4"), cluster.executedRequestIds);
    }

    @Test
    void shouldFormViewOnceWhenWriteTookEffectButAnswerWasLost() {
        // Symptom: after a time-out of the store two hosts each hold their own view, or no view is ever formed again.
        // Sequence: a is killed; the write that removes it takes effect, but its reply is lost.
        // Cause: the writer treats a missing reply as a failure and continues in the old view.
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
        // Symptom: hosts that are partitioned from each other both run the same booking.
        // Sequence: a is partitioned from b, c and the store but still reaches callers and targets; both sides receive
        // the key.
        // Cause: one side takes the view over because the other is unreachable.
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
        // Symptom: a new host that cannot reach the existing hosts runs bookings that they run too.
        // Sequence: d starts partitioned from all other hosts; only later does the host list drop them.
        // Cause: an unreachable host is considered terminated.
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
        // Symptom: a single host that was frozen runs bookings beside the host that has replaced it.
        // Sequence: b has taken over because the host list no longer contains a; a resumes and receives a key.
        // Cause: as the only member of its view, a needs no acknowledgement and does not notice that it was replaced.
        ClaimCluster single = ClaimCluster.of("a");
        single.updateHostList(hosts("a", "b"));
        single.pause("a");
        single.partition("a", "b");
        single.start("b");
        single.updateHostList(hosts("a", "b"));
        single.run(RECOVERY_MILLIS);
        single.run(ClaimLimits.defaults().hostListLagMillis());
        single.claims("b").hostListUpdated(hosts("b"), single.nowMillis);
        single.run(3 * RECOVERY_MILLIS);
        assertTrue(single.claims("b").viewNumber() > 0);
        single.resume("a");
        ClaimKey newKey = key(single.nowMillis);
        single.open("a", newKey, "r1");
        single.open("b", newKey, "r2");
        single.run(RECOVERY_MILLIS);
        assertEquals(List.of("r2"), single.executedRequestIds);
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
        // Symptom: every retry of a key waits until its deadline although nothing runs.
        // Sequence: r1 is abandoned while its claim is replicated; its grant arrives afterwards.
        // Cause: the late grant is dropped, and the members keep holding the key for r1.
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
        // Symptom: two hosts send each other claims as fast as they can, and the caller gets no response.
        // Sequence: a request is abandoned; the same request arrives at the same host again.
        // Cause: its primary returns the previous result, and the host sends its request again.
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
        // Symptom: after a rolling replacement during an outage of the store, a booking runs again.
        // Sequence: the store is unavailable; d joins; a, b and c leave in turn; c, the last member recorded in the
        // store, may not leave.
        // Cause: once no recorded member is left, a new host finds all of them terminated and starts its own view.
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
        Location location = Location.of("suva", "suva-hall");
        return new HostList(
                names.length,
                List.of(names).stream()
                        .map(name -> new ListedHost(name, HostRole.ENTRY, location, "127.0.0.1", 1, 2, "", false))
                        .toList());
    }

    static ClaimKey key(long createdAtMillis) {
        return ClaimKey.of("floor", timestampedKey(createdAtMillis));
    }

    static String timestampedKey(long millis) {
        return new UUID((millis << 16) | 0x7000L, 0x8000_0000_0000_0001L).toString();
    }
}
