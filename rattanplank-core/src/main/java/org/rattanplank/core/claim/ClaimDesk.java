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
final class ClaimDesk {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ViewKeeper keeper;
    private final ClaimTable table;
    private final ClaimLimits limits;
    private final ViewMemberId me;
    private final KeyAge age;
    private final Results results;
    private final Map<String, PendingOpen> pending = new LinkedHashMap<>();
    private final Map<String, ClaimKey> running = new LinkedHashMap<>();
    private final Map<ClaimKey, AwaitedHosts> grants = new LinkedHashMap<>();
    private long seenEpoch;

    ClaimDesk(ViewKeeper keeper, ClaimTable table, ClaimLimits limits) {
        this(keeper, table, limits, new Results(limits.resendMillis()));
    }

    private ClaimDesk(ViewKeeper keeper, ClaimTable table, ClaimLimits limits, Results results) {
        this.keeper = keeper;
        this.table = table;
        this.limits = limits;
        this.results = results;
        me = keeper.me();
        age = new KeyAge(limits, me.host());
    }

    ClaimDesk copy(ViewKeeper copiedKeeper, ClaimTable copiedTable) {
        ClaimDesk copy = new ClaimDesk(copiedKeeper, copiedTable, limits, results.copy());
        copy.pending.putAll(pending);
        copy.running.putAll(running);
        copy.grants.putAll(grants);
        copy.seenEpoch = seenEpoch;
        return copy;
    }

    boolean areResultsKnown() {
        return results.isEmpty() && running.isEmpty();
    }

    // Requests of this host.

    void open(ClaimKey key, String requestId, long nowMillis, StepList out) {
        if (pending.containsKey(requestId) || running.containsKey(requestId)) {
            return;
        }
        PendingOpen asked = PendingOpen.of(key, requestId, nowMillis);
        pending.put(requestId, asked);
        advance(asked, nowMillis, out);
    }

    ClaimDecision abandon(ClaimKey key, String requestId, long nowMillis) {
        PendingOpen asked = pending.remove(requestId);
        boolean heldByOther = table.find(key)
                .exists(claim -> !claim.isOf(requestId) && !claim.state().isFree());
        if (asked == null || heldByOther) {
            return new ClaimDecision.Unknown(failure("the deadline passed while the key was claimed"));
        }
        if (asked.asked()) {
            results.addLater(release(key, requestId, nowMillis), knownMembers());
        }
        return new ClaimDecision.NotRun(failure("the deadline passed before the key was claimed"), RETRY_AFTER_MILLIS);
    }

    void settle(ClaimKey key, String requestId, ClaimResult result, long nowMillis, StepList out) {
        if (running.remove(requestId) == null) {
            return;
        }
        Claim ended = ended(own(key, requestId, nowMillis), result);
        put(ended);
        results.add(ended, knownMembers(), nowMillis, out);
        wake(key, nowMillis, out);
    }

    private Claim ended(Claim claim, ClaimResult result) {
        if (result instanceof ClaimResult.Answered answered) {
            boolean whole = !answered.answer().streamed()
                    && table.canKeep(answered.answer().body().length);
            return whole
                    ? claim.answered(answered.answer())
                    : claim.lost(failure("the call ran, and its answer was not kept"));
        }
        if (result instanceof ClaimResult.Unknown unknown) {
            return claim.lost(unknown.failure());
        }
        return claim.freed();
    }

    private Claim own(ClaimKey key, String requestId, long nowMillis) {
        return table.find(key)
                .filter(claim -> claim.isOf(requestId))
                .getOrElse(() -> Claim.running(key, requestId, me, 0, 0, nowMillis));
    }

    private Claim release(ClaimKey key, String requestId, long nowMillis) {
        Claim freed = own(key, requestId, nowMillis).freed();
        put(freed);
        grants.computeIfPresent(key, (same, grant) -> grant.claim().isOf(requestId) ? null : grant);
        return freed;
    }

    private void advance(PendingOpen asked, long nowMillis, StepList out) {
        Option<Claim> held = table.find(asked.key());
        Option<ClaimDecision> known = held.flatMap(this::outcomeOf)
                .orElse(() -> held.isDefined() ? Option.none() : age.judge(asked.key(), nowMillis));
        if (known.isDefined()) {
            decide(asked, known.get(), out);
            return;
        }
        if (held.exists(claim -> claim.isOf(asked.requestId()) && claim.state().isFree())) {
            // No primary will order it again; asking and being told so would go on without end.
            refuse(asked, "the request was given up on before", nowMillis, out);
            return;
        }
        boolean heldByOther = held.exists(
                claim -> !claim.isOf(asked.requestId()) && !claim.state().isFree());
        if (heldByOther && keeper.isLostForNow(held.get().runner(), nowMillis)) {
            // The call's end would be known once its host is out of the view, which takes the store. Waiting for that
            // holds the caller until its deadline; one would notice repeats that hang during an outage.
            decide(asked, new ClaimDecision.Unknown(failure("the host that runs the call cannot be reached")), out);
            return;
        }
        if (heldByOther) {
            waitFor(held.get(), asked, nowMillis, out);
            return;
        }
        if (keeper.isHopeless(nowMillis)) {
            refuse(asked, "no view of the data centre can claim now", nowMillis, out);
            return;
        }
        keeper.active().forEach(view -> claim(asked, held, view, nowMillis, out));
    }

    private void claim(PendingOpen asked, Option<Claim> held, ClaimView view, long nowMillis, StepList out) {
        Option<ClaimDecision> tooOld = held.isDefined() ? Option.none() : age.judge(asked.key(), view, nowMillis);
        if (tooOld.isDefined()) {
            decide(asked, tooOld.get(), out);
            return;
        }
        if (held.isEmpty() && table.isFull()) {
            refuse(asked, "too many keys are remembered", nowMillis, out);
            return;
        }
        pending.put(asked.requestId(), asked.sent(nowMillis));
        ViewMemberId primary = view.primary(asked.key());
        if (primary.equals(me)) {
            order(asked.key(), asked.requestId(), me, view, nowMillis, out);
            return;
        }
        out.send(
                primary.host(),
                new ClaimOpen(view.number(), asked.key().account(), asked.key().key(), asked.requestId()));
    }

    private Option<ClaimDecision> outcomeOf(Claim claim) {
        return switch (claim.state()) {
            case ANSWERED -> Option.some(new ClaimDecision.Kept(claim.answer().get()));
            case LOST, UNKNOWN -> Option.some(new ClaimDecision.Unknown(claim.failure()));
            default -> Option.none();
        };
    }

    private void waitFor(Claim held, PendingOpen asked, long nowMillis, StepList out) {
        boolean due = nowMillis - asked.sentMillis() >= limits.resendMillis();
        pending.put(asked.requestId(), due ? asked.joined(nowMillis) : asked);
        if (!due) {
            return;
        }
        if (held.runner().equals(me)) {
            reclaim(held, nowMillis, out);
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
    private void reclaim(Claim held, long nowMillis, StepList out) {
        if (!pending.containsKey(held.requestId()) && !running.containsKey(held.requestId())) {
            results.add(release(held.key(), held.requestId(), nowMillis), knownMembers(), nowMillis, out);
            wake(held.key(), nowMillis, out);
        }
    }

    private void refuse(PendingOpen asked, String reason, long nowMillis, StepList out) {
        if (asked.asked()) {
            results.add(release(asked.key(), asked.requestId(), nowMillis), knownMembers(), nowMillis, out);
        }
        decide(asked, new ClaimDecision.NotRun(failure(reason), RETRY_AFTER_MILLIS), out);
    }

    private void decide(PendingOpen asked, ClaimDecision decision, StepList out) {
        pending.remove(asked.requestId());
        out.decide(asked.requestId(), asked.key(), decision);
    }

    private void wake(ClaimKey key, long nowMillis, StepList out) {
        for (PendingOpen asked : List.copyOf(pending.values())) {
            if (asked.key().equals(key) && pending.containsKey(asked.requestId())) {
                advance(asked.afresh(), nowMillis, out);
            }
        }
    }

    private void mayRun(ClaimKey key, String requestId, long nowMillis, StepList out) {
        PendingOpen asked = pending.get(requestId);
        if (asked != null) {
            running.put(requestId, key);
            decide(asked, new ClaimDecision.Run(), out);
            return;
        }
        // The right comes too late for a request that was given up on. Kept, the key would seem to run for ever and
        // every repeat would wait in vain; it is given back, since nothing ran under it.
        boolean unused = !running.containsKey(requestId)
                && table.find(key)
                        .exists(claim -> claim.isOf(requestId) && !claim.state().isSettled());
        if (unused) {
            results.add(release(key, requestId, nowMillis), knownMembers(), nowMillis, out);
            wake(key, nowMillis, out);
        }
    }

    // The primary of a key.

    void receiveOpen(String host, long incarnation, ClaimOpen message, long nowMillis, StepList out) {
        ClaimKey key = ClaimKey.of(message.account(), message.key());
        ViewMemberId runner = new ViewMemberId(host, incarnation);
        Option<ClaimView> view = sharedView(host, runner, message.viewNumber(), out);
        if (view.exists(shared -> shared.primary(key).equals(me))) {
            order(key, message.requestId(), runner, view.get(), nowMillis, out);
        }
    }

    private void order(
            ClaimKey key, String requestId, ViewMemberId runner, ClaimView view, long nowMillis, StepList out) {
        Option<Claim> held = table.find(key);
        boolean settledForIt =
                held.exists(claim -> claim.isOf(requestId) && claim.state().isSettled());
        if (settledForIt || held.exists(claim -> claim.state().isFinal())) {
            out.send(runner.host(), new ClaimSettle(ClaimEntries.toEntry(held.get())));
            return;
        }
        boolean heldByOther =
                held.exists(claim -> !claim.isOf(requestId) && !claim.state().isFree());
        boolean copying = Option.of(grants.get(key))
                .exists(grant ->
                        grant.claim().isOf(requestId) && nowMillis - grant.sentMillis() < limits.resendMillis());
        if (heldByOther || copying || (held.isEmpty() && table.isFull())) {
            return;
        }
        long sequence = held.filter(claim -> claim.viewNumber() == view.number())
                        .map(Claim::sequence)
                        .getOrElse(0L)
                + 1;
        Claim ordered = held.filter(claim -> claim.isOf(requestId))
                .map(claim -> claim.orderedAs(view.number(), sequence))
                .getOrElse(() -> Claim.running(key, requestId, runner, view.number(), sequence, nowMillis));
        put(ordered);
        AwaitedHosts grant = AwaitedHosts.of(ordered, view.others(me), nowMillis);
        grants.put(key, grant);
        sendCopies(grant, out);
        grantIfComplete(grant, nowMillis, out);
    }

    private static void sendCopies(AwaitedHosts grant, StepList out) {
        ClaimCopy copy = new ClaimCopy(grant.claim().viewNumber(), ClaimEntries.toEntry(grant.claim()));
        grant.hosts().forEach(host -> out.send(host, copy));
    }

    private void grantIfComplete(AwaitedHosts grant, long nowMillis, StepList out) {
        if (!grant.isDone()) {
            return;
        }
        Claim claim = grant.claim();
        grants.remove(claim.key());
        if (claim.runner().equals(me)) {
            mayRun(claim.key(), claim.requestId(), nowMillis, out);
            return;
        }
        out.send(
                claim.runner().host(),
                new ClaimGrant(claim.key().account(), claim.key().key(), claim.requestId()));
    }

    void receiveCopied(String host, long incarnation, ClaimCopied message, long nowMillis, StepList out) {
        ClaimKey key = ClaimKey.of(message.account(), message.key());
        boolean member = keeper.active()
                .exists(view ->
                        view.number() == message.viewNumber() && view.contains(new ViewMemberId(host, incarnation)));
        AwaitedHosts grant = grants.get(key);
        boolean current = member
                && grant != null
                && grant.claim().isOf(message.requestId())
                && grant.claim().sequence() == message.sequence();
        if (current) {
            AwaitedHosts rest = grant.acknowledged(host);
            grants.put(key, rest);
            grantIfComplete(rest, nowMillis, out);
        }
    }

    // The other members.

    void receiveCopy(String host, long incarnation, ClaimCopy message, StepList out) {
        Option<ClaimView> view = sharedView(host, new ViewMemberId(host, incarnation), message.viewNumber(), out);
        if (view.isEmpty() || message.claim() == null) {
            return;
        }
        Claim claim = ClaimEntries.fromEntry(message.claim());
        put(claim);
        boolean holds = table.find(claim.key()).exists(held -> held.isOf(claim.requestId()));
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

    void receiveGrant(ClaimGrant message, long nowMillis, StepList out) {
        mayRun(ClaimKey.of(message.account(), message.key()), message.requestId(), nowMillis, out);
    }

    void receiveSettle(String host, ClaimSettle message, long nowMillis, StepList out) {
        if (message.claim() == null) {
            return;
        }
        Claim claim = ClaimEntries.fromEntry(message.claim());
        put(claim);
        grants.computeIfPresent(claim.key(), (same, grant) -> grant.claim().isOf(claim.requestId()) ? null : grant);
        out.send(host, new ClaimSettled(claim.key().account(), claim.key().key(), claim.requestId()));
        wake(claim.key(), nowMillis, out);
    }

    void receiveSettled(String host, ClaimSettled message) {
        results.acknowledged(host, ClaimKey.of(message.account(), message.key()), message.requestId());
    }

    void receiveAsk(String host, ClaimAsk message, long nowMillis, StepList out) {
        boolean another = message.incarnation() != me.incarnation();
        if (another || pending.containsKey(message.requestId()) || running.containsKey(message.requestId())) {
            return;
        }
        ClaimKey key = ClaimKey.of(message.account(), message.key());
        Claim known = results.find(key, message.requestId())
                .orElse(() -> table.find(key).filter(claim -> claim.isOf(message.requestId())))
                .filter(claim -> claim.state().isSettled())
                .getOrElse(() -> own(key, message.requestId(), nowMillis).freed());
        out.send(host, new ClaimSettle(ClaimEntries.toEntry(known)));
    }

    /** The view that this host shares with the sender; without one, whichever is behind gets to know. */
    private Option<ClaimView> sharedView(String host, ViewMemberId sender, long viewNumber, StepList out) {
        Option<ClaimView> shared = keeper.active().filter(view -> view.number() == viewNumber && view.contains(sender));
        long known = keeper.known().map(ClaimView::number).getOrElse(0L);
        if (known > viewNumber) {
            keeper.tellView(host, out);
        } else if (known < viewNumber) {
            out.send(host, new ViewAsk(known, ""));
        }
        return shared;
    }

    // Time and views.

    /** Follows the keeper into another view, or out of one. */
    void follow(long nowMillis, StepList out) {
        if (keeper.epoch() == seenEpoch) {
            return;
        }
        seenEpoch = keeper.epoch();
        grants.clear();
        results.retarget(knownMembers());
        if (keeper.active().isEmpty()) {
            return;
        }
        ClaimView view = keeper.active().get();
        Failure why = failure("the host that ran the call was lost");
        table.all().stream()
                .filter(claim -> claim.state() == ClaimState.RUNNING && !view.contains(claim.runner()))
                .forEach(claim -> put(claim.unknown(why)));
        results.resend(nowMillis, out);
        for (PendingOpen asked : new ArrayList<>(pending.values())) {
            if (pending.containsKey(asked.requestId())) {
                advance(asked.afresh(), nowMillis, out);
            }
        }
    }

    void tick(long nowMillis, StepList out) {
        table.forget(nowMillis);
        results.resend(nowMillis, out);
        for (Map.Entry<ClaimKey, AwaitedHosts> entry : grants.entrySet()) {
            AwaitedHosts grant = entry.getValue();
            if (nowMillis - grant.sinceMillis() >= limits.silentMillis()) {
                grant.hosts().forEach(keeper::silent);
            }
            if (nowMillis - grant.sentMillis() >= limits.resendMillis()) {
                entry.setValue(grant.sent(nowMillis));
                sendCopies(grant, out);
            }
        }
        for (PendingOpen asked : new ArrayList<>(pending.values())) {
            if (pending.containsKey(asked.requestId())) {
                review(asked, nowMillis, out);
            }
        }
    }

    private void review(PendingOpen asked, long nowMillis, StepList out) {
        blameSilentPrimary(asked, nowMillis);
        if (nowMillis - asked.sentMillis() >= limits.resendMillis()) {
            advance(asked, nowMillis, out);
        }
        PendingOpen still = pending.get(asked.requestId());
        if (still != null && nowMillis - still.sinceMillis() >= limits.openTimeoutMillis()) {
            refuse(still, "the members of the view did not agree in time", nowMillis, out);
        }
    }

    /** A primary that has not even sent a copy may be frozen, with its link still up. */
    private void blameSilentPrimary(PendingOpen asked, long nowMillis) {
        boolean overdue = asked.asked() && nowMillis - asked.sinceMillis() >= limits.silentMillis();
        if (overdue && table.find(asked.key()).isEmpty()) {
            keeper.active()
                    .map(view -> view.primary(asked.key()))
                    .filter(primary -> !primary.equals(me))
                    .forEach(primary -> keeper.silent(primary.host()));
        }
    }

    private void put(Claim claim) {
        if (table.merge(claim)) {
            keeper.changed(claim.key());
        }
    }

    private List<ViewMemberId> knownMembers() {
        return keeper.known().map(view -> view.others(me)).getOrElse(List.of());
    }

    private Failure failure(String reason) {
        return Failure.of(Step.CLAIM, me.host(), reason);
    }

    /** All that decides what this host does next, but for the time; equal texts mean equal futures. */
    String describe() {
        List<String> asked = pending.values().stream()
                .map(open -> open.requestId() + open.asked())
                .toList();
        List<String> copying = grants.values().stream()
                .map(grant -> grant.claim() + " " + grant.hosts())
                .toList();
        return table.all() + " " + asked + " " + running.keySet() + " " + copying + " " + results.describe();
    }
}
