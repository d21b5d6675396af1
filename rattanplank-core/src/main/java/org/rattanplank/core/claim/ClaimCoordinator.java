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
 * Orders claims on their primary, copies them to every member, and answers the requests of this host.
 *
 * <p>Invariants: a request is told to run only after every member of one view has acknowledged its claim, and at most
 * once; a request that was given up on is never told to run, and its claim is given back. Not thread safe; guarded by
 * the lock of {@link Claims}.
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

    ClaimCoordinator(ViewManager keeper, ClaimTable table, ClaimLimits limits) {
        this(keeper, table, limits, new UnacknowledgedResults(limits.resendMillis()));
    }

    private ClaimCoordinator(ViewManager keeper, ClaimTable table, ClaimLimits limits, UnacknowledgedResults results) {
        this.viewManager = keeper;
        this.table = table;
        this.limits = limits;
        this.unacknowledgedResults = results;
        self = keeper.self();
        keyAgePolicy = new KeyAgePolicy(limits, self.host());
    }

    ClaimCoordinator copy(ViewManager copiedKeeper, ClaimTable copiedTable) {
        ClaimCoordinator copy = new ClaimCoordinator(copiedKeeper, copiedTable, limits, unacknowledgedResults.copy());
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
        PendingOpen asked = PendingOpen.of(key, requestId, nowMillis);
        pendingOpens.put(requestId, asked);
        advance(asked, nowMillis, out);
    }

    ClaimDecision abandon(ClaimKey key, String requestId, long nowMillis) {
        PendingOpen asked = pendingOpens.remove(requestId);
        boolean heldByOther = table.find(key)
                .exists(claim -> !claim.isClaimedBy(requestId) && !claim.state().isFree());
        if (asked == null || heldByOther) {
            return new ClaimDecision.Unknown(failure("the deadline passed while the key was claimed"));
        }
        if (asked.sentToPrimary()) {
            unacknowledgedResults.addDeferred(release(key, requestId, nowMillis), otherMembers());
        }
        return new ClaimDecision.NotRun(failure("the deadline passed before the key was claimed"), RETRY_AFTER_MILLIS);
    }

    void settle(ClaimKey key, String requestId, ClaimResult result, long nowMillis, ActionList out) {
        if (runningKeys.remove(requestId) == null) {
            return;
        }
        Claim ended = withResult(ownClaim(key, requestId, nowMillis), result);
        mergeClaim(ended);
        unacknowledgedResults.add(ended, otherMembers(), nowMillis, out);
        advanceWaiters(key, nowMillis, out);
    }

    private Claim withResult(Claim claim, ClaimResult result) {
        if (result instanceof ClaimResult.Answered answered) {
            boolean whole = !answered.answer().streamed()
                    && table.canStoreAnswer(answered.answer().body().length);
            return whole
                    ? claim.answered(answered.answer())
                    : claim.lost(failure("the call ran, and its answer was not kept"));
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

    private void advance(PendingOpen asked, long nowMillis, ActionList out) {
        Option<Claim> held = table.find(asked.key());
        Option<ClaimDecision> known = held.flatMap(this::decisionFor)
                .orElse(() -> held.isDefined() ? Option.none() : keyAgePolicy.check(asked.key(), nowMillis));
        if (known.isDefined()) {
            decide(asked, known.get(), out);
            return;
        }
        if (held.exists(claim -> claim.isClaimedBy(asked.requestId()) && claim.state().isFree())) {
            // No primary will order it again; asking and being told so would go on without end.
            reject(asked, "the request was given up on before", nowMillis, out);
            return;
        }
        boolean heldByOther = held.exists(
                claim -> !claim.isClaimedBy(asked.requestId()) && !claim.state().isFree());
        if (heldByOther && viewManager.isRemovalBlocked(held.get().runner(), nowMillis)) {
            // The call's end would be known once its host is out of the view, which takes the store. Waiting for that
            // holds the caller until its deadline; one would notice repeats that hang during an outage.
            decide(asked, new ClaimDecision.Unknown(failure("the host that runs the call cannot be reached")), out);
            return;
        }
        if (heldByOther) {
            waitForHolder(held.get(), asked, nowMillis, out);
            return;
        }
        if (viewManager.isClaimingBlocked(nowMillis)) {
            reject(asked, "no view of the data centre can claim now", nowMillis, out);
            return;
        }
        viewManager.activeView().forEach(view -> requestClaim(asked, held, view, nowMillis, out));
    }

    private void requestClaim(PendingOpen asked, Option<Claim> held, ClaimView view, long nowMillis, ActionList out) {
        Option<ClaimDecision> tooOld = held.isDefined() ? Option.none() : keyAgePolicy.check(asked.key(), view, nowMillis);
        if (tooOld.isDefined()) {
            decide(asked, tooOld.get(), out);
            return;
        }
        if (held.isEmpty() && table.isFull()) {
            reject(asked, "too many keys are remembered", nowMillis, out);
            return;
        }
        pendingOpens.put(asked.requestId(), asked.withSentToPrimary(nowMillis));
        ViewMemberId primary = view.primary(asked.key());
        if (primary.equals(self)) {
            order(asked.key(), asked.requestId(), self, view, nowMillis, out);
            return;
        }
        out.send(
                primary.host(),
                new ClaimOpen(view.number(), asked.key().account(), asked.key().key(), asked.requestId()));
    }

    private Option<ClaimDecision> decisionFor(Claim claim) {
        return switch (claim.state()) {
            case ANSWERED -> Option.some(new ClaimDecision.Kept(claim.answer().get()));
            case LOST, UNKNOWN -> Option.some(new ClaimDecision.Unknown(claim.failure()));
            default -> Option.none();
        };
    }

    private void waitForHolder(Claim held, PendingOpen asked, long nowMillis, ActionList out) {
        boolean due = nowMillis - asked.lastSentAtMillis() >= limits.resendMillis();
        pendingOpens.put(asked.requestId(), due ? asked.withHolderQueried(nowMillis) : asked);
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

    /** Gives back a claim of this host whose request has long been given up on. */
    private void releaseIfAbandoned(Claim held, long nowMillis, ActionList out) {
        if (!pendingOpens.containsKey(held.requestId()) && !runningKeys.containsKey(held.requestId())) {
            unacknowledgedResults.add(release(held.key(), held.requestId(), nowMillis), otherMembers(), nowMillis, out);
            advanceWaiters(held.key(), nowMillis, out);
        }
    }

    private void reject(PendingOpen asked, String reason, long nowMillis, ActionList out) {
        if (asked.sentToPrimary()) {
            unacknowledgedResults.add(release(asked.key(), asked.requestId(), nowMillis), otherMembers(), nowMillis, out);
        }
        decide(asked, new ClaimDecision.NotRun(failure(reason), RETRY_AFTER_MILLIS), out);
    }

    private void decide(PendingOpen asked, ClaimDecision decision, ActionList out) {
        pendingOpens.remove(asked.requestId());
        out.decide(asked.requestId(), asked.key(), decision);
    }

    private void advanceWaiters(ClaimKey key, long nowMillis, ActionList out) {
        for (PendingOpen asked : List.copyOf(pendingOpens.values())) {
            if (asked.key().equals(key) && pendingOpens.containsKey(asked.requestId())) {
                advance(asked.withRetryDue(), nowMillis, out);
            }
        }
    }

    private void acceptGrant(ClaimKey key, String requestId, long nowMillis, ActionList out) {
        PendingOpen asked = pendingOpens.get(requestId);
        if (asked != null) {
            runningKeys.put(requestId, key);
            decide(asked, new ClaimDecision.Run(), out);
            return;
        }
        // The right comes too late for a request that was given up on. Kept, the key would seem to run for ever and
        // every repeat would wait in vain; it is given back, since nothing ran under it.
        boolean unused = !runningKeys.containsKey(requestId)
                && table.find(key)
                        .exists(claim -> claim.isClaimedBy(requestId) && !claim.state().isSettled());
        if (unused) {
            unacknowledgedResults.add(release(key, requestId, nowMillis), otherMembers(), nowMillis, out);
            advanceWaiters(key, nowMillis, out);
        }
    }

    // The primary of a key.

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
        boolean settledForIt =
                held.exists(claim -> claim.isClaimedBy(requestId) && claim.state().isSettled());
        if (settledForIt || held.exists(claim -> claim.state().isFinal())) {
            out.send(runner.host(), new ClaimSettle(ClaimEntryCodec.toEntry(held.get())));
            return;
        }
        boolean heldByOther =
                held.exists(claim -> !claim.isClaimedBy(requestId) && !claim.state().isFree());
        boolean copying = Option.of(pendingGrants.get(key))
                .exists(grant ->
                        grant.claim().isClaimedBy(requestId) && nowMillis - grant.lastSentAtMillis() < limits.resendMillis());
        if (heldByOther || copying || (held.isEmpty() && table.isFull())) {
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
        boolean member = viewManager.activeView()
                .exists(view ->
                        view.number() == message.viewNumber() && view.contains(new ViewMemberId(host, incarnation)));
        PendingAcknowledgements grant = pendingGrants.get(key);
        boolean current = member
                && grant != null
                && grant.claim().isClaimedBy(message.requestId())
                && grant.claim().sequence() == message.sequence();
        if (current) {
            PendingAcknowledgements rest = grant.withAcknowledgement(host);
            pendingGrants.put(key, rest);
            grantIfComplete(rest, nowMillis, out);
        }
    }

    // The other members.

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
        pendingGrants.computeIfPresent(claim.key(), (same, grant) -> grant.claim().isClaimedBy(claim.requestId()) ? null : grant);
        out.send(host, new ClaimSettled(claim.key().account(), claim.key().key(), claim.requestId()));
        advanceWaiters(claim.key(), nowMillis, out);
    }

    void receiveSettled(String host, ClaimSettled message) {
        unacknowledgedResults.acknowledged(host, ClaimKey.of(message.account(), message.key()), message.requestId());
    }

    void receiveAsk(String host, ClaimAsk message, long nowMillis, ActionList out) {
        boolean another = message.incarnation() != self.incarnation();
        if (another || pendingOpens.containsKey(message.requestId()) || runningKeys.containsKey(message.requestId())) {
            return;
        }
        ClaimKey key = ClaimKey.of(message.account(), message.key());
        Claim known = unacknowledgedResults.find(key, message.requestId())
                .orElse(() -> table.find(key).filter(claim -> claim.isClaimedBy(message.requestId())))
                .filter(claim -> claim.state().isSettled())
                .getOrElse(() -> ownClaim(key, message.requestId(), nowMillis).freed());
        out.send(host, new ClaimSettle(ClaimEntryCodec.toEntry(known)));
    }

    /** The view that this host shares with the sender; without one, whichever is behind gets to know. */
    private Option<ClaimView> sharedView(String host, ViewMemberId sender, long viewNumber, ActionList out) {
        Option<ClaimView> shared = viewManager.activeView().filter(view -> view.number() == viewNumber && view.contains(sender));
        long known = viewManager.latestView().map(ClaimView::number).getOrElse(0L);
        if (known > viewNumber) {
            viewManager.sendView(host, out);
        } else if (known < viewNumber) {
            out.send(host, new ViewAsk(known, ""));
        }
        return shared;
    }

    // Time and views.

    /** Follows the keeper into another view, or out of one. */
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
        Failure why = failure("the host that ran the call was lost");
        table.all().stream()
                .filter(claim -> claim.state() == ClaimState.RUNNING && !view.contains(claim.runner()))
                .forEach(claim -> mergeClaim(claim.unknown(why)));
        unacknowledgedResults.resend(nowMillis, out);
        for (PendingOpen asked : new ArrayList<>(pendingOpens.values())) {
            if (pendingOpens.containsKey(asked.requestId())) {
                advance(asked.withRetryDue(), nowMillis, out);
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
        for (PendingOpen asked : new ArrayList<>(pendingOpens.values())) {
            if (pendingOpens.containsKey(asked.requestId())) {
                checkPending(asked, nowMillis, out);
            }
        }
    }

    private void checkPending(PendingOpen asked, long nowMillis, ActionList out) {
        markUnresponsivePrimary(asked, nowMillis);
        if (nowMillis - asked.lastSentAtMillis() >= limits.resendMillis()) {
            advance(asked, nowMillis, out);
        }
        PendingOpen still = pendingOpens.get(asked.requestId());
        if (still != null && nowMillis - still.waitingSinceMillis() >= limits.openTimeoutMillis()) {
            reject(still, "the members of the view did not agree in time", nowMillis, out);
        }
    }

    /** A primary that has not even sent a copy may be frozen, with its link still up. */
    private void markUnresponsivePrimary(PendingOpen asked, long nowMillis) {
        boolean overdue = asked.sentToPrimary() && nowMillis - asked.waitingSinceMillis() >= limits.unresponsiveMillis();
        if (overdue && table.find(asked.key()).isEmpty()) {
            viewManager.activeView()
                    .map(view -> view.primary(asked.key()))
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

    /** All that decides what this host does next, but for the time; equal texts mean equal futures. */
    String stateKey() {
        List<String> asked = pendingOpens.values().stream()
                .map(open -> open.requestId() + open.sentToPrimary())
                .toList();
        List<String> copying = pendingGrants.values().stream()
                .map(grant -> grant.claim() + " " + grant.awaitedHosts())
                .toList();
        return table.all() + " " + asked + " " + runningKeys.keySet() + " " + copying + " " + unacknowledgedResults.stateKey();
    }
}
