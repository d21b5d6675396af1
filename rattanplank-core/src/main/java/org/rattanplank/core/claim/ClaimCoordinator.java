package org.rattanplank.core.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;
import org.rattanplank.schema.message.ClaimAsk;
import org.rattanplank.schema.message.ClaimCopied;
import org.rattanplank.schema.message.ClaimCopy;
import org.rattanplank.schema.message.ClaimGrant;
import org.rattanplank.schema.message.ClaimOpen;
import org.rattanplank.schema.message.ClaimSettle;
import org.rattanplank.schema.message.ClaimSettled;
import org.rattanplank.schema.message.ViewAsk;

/**
 * Orders claims as primary, replicates them to every member, and answers the requests of this host.
 *
 * <p>Invariants: a request may run only after every member of one view has acknowledged its claim, and at most once; an
 * abandoned request never runs, and its claim is released. Not thread safe; guarded by the lock of {@link Claims}.
 */
final class ClaimCoordinator {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ViewManager viewManager;
    private final ClaimTable table;
    private final ClaimLimits limits;
    private final ViewMemberId self;
    private final KeyAgePolicy keyAgePolicy;
    private final UnacknowledgedResults unacknowledgedResults;
    private final Map<String, PendingOpen> pendingOpens = new LinkedHashMap<>();
    private final Map<String, ClaimKey> runningKeys = new LinkedHashMap<>();
    private final Map<ClaimKey, PendingAcknowledgements> pendingGrants = new LinkedHashMap<>();
    private long lastEpoch;

    ClaimCoordinator(ViewManager viewManager, ClaimTable table, ClaimLimits limits) {
        this(viewManager, table, limits, new UnacknowledgedResults(limits.resendMillis()));
    }

    private ClaimCoordinator(
            ViewManager viewManager,
            ClaimTable table,
            ClaimLimits limits,
            UnacknowledgedResults unacknowledgedResults) {
        this.viewManager = viewManager;
        this.table = table;
        this.limits = limits;
        this.unacknowledgedResults = unacknowledgedResults;
        self = viewManager.self();
        keyAgePolicy = new KeyAgePolicy(limits, self.host());
    }

    ClaimCoordinator copy(ViewManager copiedViewManager, ClaimTable copiedTable) {
        ClaimCoordinator copy =
                new ClaimCoordinator(copiedViewManager, copiedTable, limits, unacknowledgedResults.copy());
        copy.pendingOpens.putAll(pendingOpens);
        copy.runningKeys.putAll(runningKeys);
        copy.pendingGrants.putAll(pendingGrants);
        copy.lastEpoch = lastEpoch;
        return copy;
    }

    boolean areResultsAcknowledged() {
        return unacknowledgedResults.isEmpty() && runningKeys.isEmpty();
    }

    // Requests of this host.

    void open(ClaimKey key, String requestId, long nowMillis, ActionList out) {
        if (pendingOpens.containsKey(requestId) || runningKeys.containsKey(requestId)) {
            return;
        }
        PendingOpen pendingOpen = PendingOpen.of(key, requestId, nowMillis);
        pendingOpens.put(requestId, pendingOpen);
        advance(pendingOpen, nowMillis, out);
    }

    ClaimDecision abandon(ClaimKey key, String requestId, long nowMillis) {
        PendingOpen pendingOpen = pendingOpens.remove(requestId);
        boolean heldByOther = table.find(key)
                .exists(claim -> !claim.isClaimedBy(requestId) && !claim.state().isFree());
        if (pendingOpen == null || heldByOther) {
            return new ClaimDecision.Unknown(failure("the deadline passed while the key was claimed"));
        }
        if (pendingOpen.sentToPrimary()) {
            unacknowledgedResults.addDeferred(release(key, requestId, nowMillis), otherMembers());
        }
        return new ClaimDecision.NotRun(failure("the deadline passed before the key was claimed"), RETRY_AFTER_MILLIS);
    }

    void settle(ClaimKey key, String requestId, ClaimResult result, long nowMillis, ActionList out) {
        if (runningKeys.remove(requestId) == null) {
            return;
        }
        Claim settled = withResult(ownClaim(key, requestId, nowMillis), result);
        mergeClaim(settled);
        unacknowledgedResults.add(settled, otherMembers(), nowMillis, out);
        advanceWaiters(key, nowMillis, out);
    }

    private Claim withResult(Claim claim, ClaimResult result) {
        if (result instanceof ClaimResult.Answered answered) {
            boolean storable = !answered.answer().streamed()
                    && table.canStoreAnswer(answered.answer().body().length);
            return storable
                    ? claim.answered(answered.answer())
                    : claim.lost(failure("the call ran, but its answer was not stored"));
        }
        if (result instanceof ClaimResult.Unknown unknown) {
            return claim.lost(unknown.failure());
        }
        return claim.freed();
    }

    private Claim ownClaim(ClaimKey key, String requestId, long nowMillis) {
        return table.find(key)
                .filter(claim -> claim.isClaimedBy(requestId))
                .getOrElse(() -> Claim.running(key, requestId, self, 0, 0, nowMillis));
    }

    private Claim release(ClaimKey key, String requestId, long nowMillis) {
        Claim freed = ownClaim(key, requestId, nowMillis).freed();
        mergeClaim(freed);
        pendingGrants.computeIfPresent(key, (same, grant) -> grant.claim().isClaimedBy(requestId) ? null : grant);
        return freed;
    }

    private void advance(PendingOpen pendingOpen, long nowMillis, ActionList out) {
        Option<Claim> held = table.find(pendingOpen.key());
        Option<ClaimDecision> decision = held.flatMap(this::decisionFor)
                .orElse(() -> held.isDefined() ? Option.none() : keyAgePolicy.check(pendingOpen.key(), nowMillis));
        if (decision.isDefined()) {
            decide(pendingOpen, decision.get(), out);
            return;
        }
        if (held.exists(claim ->
                claim.isClaimedBy(pendingOpen.requestId()) && claim.state().isFree())) {
            // No primary orders a released claim of the same request again; a retried request to the primary would
            // return the same result without end.
            reject(pendingOpen, "the request was abandoned earlier", nowMillis, out);
            return;
        }
        boolean heldByOther = held.exists(claim ->
                !claim.isClaimedBy(pendingOpen.requestId()) && !claim.state().isFree());
        if (heldByOther && viewManager.isRemovalBlocked(held.get().runner(), nowMillis)) {
            // The result of the call is decided once its host is removed from the view, which needs the store. Waiting
            // for that would hold the caller until its deadline. Symptom: retries that hang during an outage of the
            // store.
            decide(pendingOpen, new ClaimDecision.Unknown(failure("the host that runs the call is unreachable")), out);
            return;
        }
        if (heldByOther) {
            waitForHolder(held.get(), pendingOpen, nowMillis, out);
            return;
        }
        if (viewManager.isClaimingBlocked(nowMillis)) {
            reject(pendingOpen, "no view of the data centre can grant claims now", nowMillis, out);
            return;
        }
        viewManager.activeView().forEach(view -> requestClaim(pendingOpen, held, view, nowMillis, out));
    }

    private void requestClaim(
            PendingOpen pendingOpen, Option<Claim> held, ClaimView view, long nowMillis, ActionList out) {
        Option<ClaimDecision> decision =
                held.isDefined() ? Option.none() : keyAgePolicy.check(pendingOpen.key(), view, nowMillis);
        if (decision.isDefined()) {
            decide(pendingOpen, decision.get(), out);
            return;
        }
        if (held.isEmpty() && table.isFull()) {
            reject(pendingOpen, "the maximum number of claims is reached", nowMillis, out);
            return;
        }
        pendingOpens.put(pendingOpen.requestId(), pendingOpen.withSentToPrimary(nowMillis));
        ViewMemberId primary = view.primary(pendingOpen.key());
        if (primary.equals(self)) {
            order(pendingOpen.key(), pendingOpen.requestId(), self, view, nowMillis, out);
            return;
        }
        out.send(
                primary.host(),
                new ClaimOpen(
                        view.number(),
                        pendingOpen.key().account(),
                        pendingOpen.key().key(),
                        pendingOpen.requestId()));
    }

    private Option<ClaimDecision> decisionFor(Claim claim) {
        return switch (claim.state()) {
            case ANSWERED -> Option.some(new ClaimDecision.Replay(claim.answer().get()));
            case LOST, UNKNOWN -> Option.some(new ClaimDecision.Unknown(claim.failure()));
            default -> Option.none();
        };
    }

    private void waitForHolder(Claim held, PendingOpen pendingOpen, long nowMillis, ActionList out) {
        boolean due = nowMillis - pendingOpen.lastSentAtMillis() >= limits.resendMillis();
        pendingOpens.put(pendingOpen.requestId(), due ? pendingOpen.withHolderQueried(nowMillis) : pendingOpen);
        if (!due) {
            return;
        }
        if (held.runner().equals(self)) {
            releaseIfAbandoned(held, nowMillis, out);
        } else {
            out.send(
                    held.runner().host(),
                    new ClaimAsk(
                            held.runner().incarnation(),
                            held.key().account(),
                            held.key().key(),
                            held.requestId()));
        }
    }

    /** Releases a claim of this host whose request was abandoned. */
    private void releaseIfAbandoned(Claim held, long nowMillis, ActionList out) {
        if (!pendingOpens.containsKey(held.requestId()) && !runningKeys.containsKey(held.requestId())) {
            unacknowledgedResults.add(release(held.key(), held.requestId(), nowMillis), otherMembers(), nowMillis, out);
            advanceWaiters(held.key(), nowMillis, out);
        }
    }

    private void reject(PendingOpen pendingOpen, String reason, long nowMillis, ActionList out) {
        if (pendingOpen.sentToPrimary()) {
            unacknowledgedResults.add(
                    release(pendingOpen.key(), pendingOpen.requestId(), nowMillis), otherMembers(), nowMillis, out);
        }
        decide(pendingOpen, new ClaimDecision.NotRun(failure(reason), RETRY_AFTER_MILLIS), out);
    }

    private void decide(PendingOpen pendingOpen, ClaimDecision decision, ActionList out) {
        pendingOpens.remove(pendingOpen.requestId());
        out.decide(pendingOpen.requestId(), pendingOpen.key(), decision);
    }

    private void advanceWaiters(ClaimKey key, long nowMillis, ActionList out) {
        for (PendingOpen pendingOpen : List.copyOf(pendingOpens.values())) {
            if (pendingOpen.key().equals(key) && pendingOpens.containsKey(pendingOpen.requestId())) {
                advance(pendingOpen.withRetryDue(), nowMillis, out);
            }
        }
    }

    private void acceptGrant(ClaimKey key, String requestId, long nowMillis, ActionList out) {
        PendingOpen pendingOpen = pendingOpens.get(requestId);
        if (pendingOpen != null) {
            runningKeys.put(requestId, key);
            decide(pendingOpen, new ClaimDecision.Run(), out);
            return;
        }
        // The grant arrived after the request was abandoned. If the claim were kept, the key would appear to run
        // forever and every retry would wait until its deadline; it is released, since nothing ran under it.
        boolean unused = !runningKeys.containsKey(requestId)
                && table.find(key)
                        .exists(claim ->
                                claim.isClaimedBy(requestId) && !claim.state().isSettled());
        if (unused) {
            unacknowledgedResults.add(release(key, requestId, nowMillis), otherMembers(), nowMillis, out);
            advanceWaiters(key, nowMillis, out);
        }
    }

    // Ordering of claims on the primary.

    void receiveOpen(String host, long incarnation, ClaimOpen message, long nowMillis, ActionList out) {
        ClaimKey key = ClaimKey.of(message.account(), message.key());
        ViewMemberId runner = new ViewMemberId(host, incarnation);
        Option<ClaimView> view = sharedView(host, runner, message.viewNumber(), out);
        if (view.exists(shared -> shared.primary(key).equals(self))) {
            order(key, message.requestId(), runner, view.get(), nowMillis, out);
        }
    }

    private void order(
            ClaimKey key, String requestId, ViewMemberId runner, ClaimView view, long nowMillis, ActionList out) {
        Option<Claim> held = table.find(key);
        boolean settledForRequest = held.exists(
                claim -> claim.isClaimedBy(requestId) && claim.state().isSettled());
        if (settledForRequest || held.exists(claim -> claim.state().isFinal())) {
            out.send(runner.host(), new ClaimSettle(ClaimEntryCodec.toEntry(held.get())));
            return;
        }
        boolean heldByOther = held.exists(
                claim -> !claim.isClaimedBy(requestId) && !claim.state().isFree());
        boolean recentlySent = Option.of(pendingGrants.get(key))
                .exists(grant -> grant.claim().isClaimedBy(requestId)
                        && nowMillis - grant.lastSentAtMillis() < limits.resendMillis());
        if (heldByOther || recentlySent || (held.isEmpty() && table.isFull())) {
            return;
        }
        long sequence = held.filter(claim -> claim.viewNumber() == view.number())
                        .map(Claim::sequence)
                        .getOrElse(0L)
                + 1;
        Claim ordered = held.filter(claim -> claim.isClaimedBy(requestId))
                .map(claim -> claim.withOrder(view.number(), sequence))
                .getOrElse(() -> Claim.running(key, requestId, runner, view.number(), sequence, nowMillis));
        mergeClaim(ordered);
        PendingAcknowledgements grant = PendingAcknowledgements.of(ordered, view.others(self), nowMillis);
        pendingGrants.put(key, grant);
        sendCopies(grant, out);
        grantIfComplete(grant, nowMillis, out);
    }

    private static void sendCopies(PendingAcknowledgements grant, ActionList out) {
        ClaimCopy copy = new ClaimCopy(grant.claim().viewNumber(), ClaimEntryCodec.toEntry(grant.claim()));
        grant.awaitedHosts().forEach(host -> out.send(host, copy));
    }

    private void grantIfComplete(PendingAcknowledgements grant, long nowMillis, ActionList out) {
        if (!grant.isComplete()) {
            return;
        }
        Claim claim = grant.claim();
        pendingGrants.remove(claim.key());
        if (claim.runner().equals(self)) {
            acceptGrant(claim.key(), claim.requestId(), nowMillis, out);
            return;
        }
        out.send(
                claim.runner().host(),
                new ClaimGrant(claim.key().account(), claim.key().key(), claim.requestId()));
    }

    void receiveCopied(String host, long incarnation, ClaimCopied message, long nowMillis, ActionList out) {
        ClaimKey key = ClaimKey.of(message.account(), message.key());
        boolean member = viewManager
                .activeView()
                .exists(view ->
                        view.number() == message.viewNumber() && view.contains(new ViewMemberId(host, incarnation)));
        PendingAcknowledgements grant = pendingGrants.get(key);
        boolean current = member
                && grant != null
                && grant.claim().isClaimedBy(message.requestId())
                && grant.claim().sequence() == message.sequence();
        if (current) {
            PendingAcknowledgements updated = grant.withAcknowledgement(host);
            pendingGrants.put(key, updated);
            grantIfComplete(updated, nowMillis, out);
        }
    }

    // Messages to the other members.

    void receiveCopy(String host, long incarnation, ClaimCopy message, ActionList out) {
        Option<ClaimView> view = sharedView(host, new ViewMemberId(host, incarnation), message.viewNumber(), out);
        if (view.isEmpty() || message.claim() == null) {
            return;
        }
        Claim claim = ClaimEntryCodec.fromEntry(message.claim());
        mergeClaim(claim);
        boolean holds = table.find(claim.key()).exists(held -> held.isClaimedBy(claim.requestId()));
        if (holds) {
            out.send(
                    host,
                    new ClaimCopied(
                            message.viewNumber(),
                            claim.key().account(),
                            claim.key().key(),
                            claim.requestId(),
                            claim.sequence()));
        }
    }

    void receiveGrant(ClaimGrant message, long nowMillis, ActionList out) {
        acceptGrant(ClaimKey.of(message.account(), message.key()), message.requestId(), nowMillis, out);
    }

    void receiveSettle(String host, ClaimSettle message, long nowMillis, ActionList out) {
        if (message.claim() == null) {
            return;
        }
        Claim claim = ClaimEntryCodec.fromEntry(message.claim());
        mergeClaim(claim);
        pendingGrants.computeIfPresent(
                claim.key(), (same, grant) -> grant.claim().isClaimedBy(claim.requestId()) ? null : grant);
        out.send(host, new ClaimSettled(claim.key().account(), claim.key().key(), claim.requestId()));
        advanceWaiters(claim.key(), nowMillis, out);
    }

    void receiveSettled(String host, ClaimSettled message) {
        unacknowledgedResults.acknowledged(host, ClaimKey.of(message.account(), message.key()), message.requestId());
    }

    void receiveAsk(String host, ClaimAsk message, long nowMillis, ActionList out) {
        boolean otherIncarnation = message.incarnation() != self.incarnation();
        if (otherIncarnation
                || pendingOpens.containsKey(message.requestId())
                || runningKeys.containsKey(message.requestId())) {
            return;
        }
        ClaimKey key = ClaimKey.of(message.account(), message.key());
        Claim settledClaim = unacknowledgedResults
                .find(key, message.requestId())
                .orElse(() -> table.find(key).filter(claim -> claim.isClaimedBy(message.requestId())))
                .filter(claim -> claim.state().isSettled())
                .getOrElse(() -> ownClaim(key, message.requestId(), nowMillis).freed());
        out.send(host, new ClaimSettle(ClaimEntryCodec.toEntry(settledClaim)));
    }

    /**
     * Returns the view in which both this host and the sender are active, if any; otherwise brings whichever of the two
     * has the older view up to date.
     */
    private Option<ClaimView> sharedView(String host, ViewMemberId sender, long viewNumber, ActionList out) {
        Option<ClaimView> shared =
                viewManager.activeView().filter(view -> view.number() == viewNumber && view.contains(sender));
        long latestNumber = viewManager.latestView().map(ClaimView::number).getOrElse(0L);
        if (latestNumber > viewNumber) {
            viewManager.sendView(host, out);
        } else if (latestNumber < viewNumber) {
            out.send(host, new ViewAsk(latestNumber, ""));
        }
        return shared;
    }

    // Time and changes of the view.

    /** Adapts claims, grants and pending requests after a change of view or phase. */
    void followView(long nowMillis, ActionList out) {
        if (viewManager.epoch() == lastEpoch) {
            return;
        }
        lastEpoch = viewManager.epoch();
        pendingGrants.clear();
        unacknowledgedResults.resetRecipients(otherMembers());
        if (viewManager.activeView().isEmpty()) {
            return;
        }
        ClaimView view = viewManager.activeView().get();
        Failure reason = failure("the host that ran the call was lost");
        table.all().stream()
                .filter(claim -> claim.state() == ClaimState.RUNNING && !view.contains(claim.runner()))
                .forEach(claim -> mergeClaim(claim.unknown(reason)));
        unacknowledgedResults.resend(nowMillis, out);
        for (PendingOpen pendingOpen : new ArrayList<>(pendingOpens.values())) {
            if (pendingOpens.containsKey(pendingOpen.requestId())) {
                advance(pendingOpen.withRetryDue(), nowMillis, out);
            }
        }
    }

    void tick(long nowMillis, ActionList out) {
        table.removeExpired(nowMillis);
        unacknowledgedResults.resend(nowMillis, out);
        for (Map.Entry<ClaimKey, PendingAcknowledgements> entry : pendingGrants.entrySet()) {
            PendingAcknowledgements grant = entry.getValue();
            if (nowMillis - grant.firstSentAtMillis() >= limits.unresponsiveMillis()) {
                grant.awaitedHosts().forEach(viewManager::markUnresponsive);
            }
            if (nowMillis - grant.lastSentAtMillis() >= limits.resendMillis()) {
                entry.setValue(grant.withSent(nowMillis));
                sendCopies(grant, out);
            }
        }
        for (PendingOpen pendingOpen : new ArrayList<>(pendingOpens.values())) {
            if (pendingOpens.containsKey(pendingOpen.requestId())) {
                checkPending(pendingOpen, nowMillis, out);
            }
        }
    }

    private void checkPending(PendingOpen pendingOpen, long nowMillis, ActionList out) {
        markUnresponsivePrimary(pendingOpen, nowMillis);
        if (nowMillis - pendingOpen.lastSentAtMillis() >= limits.resendMillis()) {
            advance(pendingOpen, nowMillis, out);
        }
        PendingOpen remaining = pendingOpens.get(pendingOpen.requestId());
        if (remaining != null && nowMillis - remaining.waitingSinceMillis() >= limits.openTimeoutMillis()) {
            reject(remaining, "the members of the view did not acknowledge the claim in time", nowMillis, out);
        }
    }

    /**
     * Marks a primary as unresponsive that has sent no copy of the claim in time; its process may be frozen while its
     * connection is still up.
     */
    private void markUnresponsivePrimary(PendingOpen pendingOpen, long nowMillis) {
        boolean overdue = pendingOpen.sentToPrimary()
                && nowMillis - pendingOpen.waitingSinceMillis() >= limits.unresponsiveMillis();
        if (overdue && table.find(pendingOpen.key()).isEmpty()) {
            viewManager
                    .activeView()
                    .map(view -> view.primary(pendingOpen.key()))
                    .filter(primary -> !primary.equals(self))
                    .forEach(primary -> viewManager.markUnresponsive(primary.host()));
        }
    }

    private void mergeClaim(Claim claim) {
        if (table.merge(claim)) {
            viewManager.claimChanged(claim.key());
        }
    }

    private List<ViewMemberId> otherMembers() {
        return viewManager.latestView().map(view -> view.others(self)).getOrElse(List.of());
    }

    private Failure failure(String reason) {
        return Failure.of(Step.CLAIM, self.host(), reason);
    }

    /** Returns all state that determines future behaviour, except times; equal keys imply equal behaviour. */
    String stateKey() {
        List<String> opens = pendingOpens.values().stream()
                .map(open -> open.requestId() + open.sentToPrimary())
                .toList();
        List<String> grants = pendingGrants.values().stream()
                .map(grant -> grant.claim() + " " + grant.awaitedHosts())
                .toList();
        return table.all() + " " + opens + " " + runningKeys.keySet() + " " + grants + " "
                + unacknowledgedResults.stateKey();
    }
}
