package org.rattanplank.core.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

import io.vavr.control.Option;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.schema.message.ViewAsk;
import org.rattanplank.schema.message.ViewConsent;
import org.rattanplank.schema.message.ViewInstall;
import org.rattanplank.schema.message.ViewInstalled;
import org.rattanplank.schema.message.ViewJoin;
import org.rattanplank.schema.message.ViewLeave;
import org.rattanplank.schema.message.ViewPropose;
import org.rattanplank.schema.message.ViewSync;
import org.rattanplank.schema.message.ViewSynced;
import org.rattanplank.schema.message.ViewWithdraw;

/**
 * Tracks the view that this host is in and runs changes of the view.
 *
 * <p>Invariants: a view is formed either by compare-and-swap in the store, proposed by a member of the previous view
 * that has stopped that view, or by consent of every member of the previous view, or, without any member of the
 * previous view, once each of them has definitely terminated. A host is active in one view at a time and never returns
 * to an older one. While the store may still apply a change that this host requested, this host is active in no view
 * and consents to none. Every view has at least one member of the view recorded in the store, so if all recorded
 * members have terminated, no later unrecorded view can claim either. Not thread safe; guarded by the lock of {@link
 * Claims}.
 */
final class ViewManager {
    private final ViewMemberId self;
    private final String dataCentre;
    private final ClaimLimits limits;
    private final TakeoverRule takeoverRule;
    private final ClaimTable table;
    private final PeerReachability reachability;
    private final TerminationEvidence evidence;
    private final ViewStore store;
    private final SyncSessions syncSessions;
    private final SyncReceiver syncReceiver;
    private final Set<String> leavingHosts = new TreeSet<>();
    private final Set<String> uninstalledHosts = new TreeSet<>();
    private final Set<String> unconfirmedHosts = new TreeSet<>();
    private ViewPhase phase = ViewPhase.OUTSIDE;
    private Option<ClaimView> view = Option.none();
    private Option<ViewChange> change = Option.none();
    private Option<ClaimView> consentedView = Option.none();
    private String consentedProposer = "";
    private long epoch;
    private long nextId = 1;
    private boolean leaving;
    private long leavingSinceMillis;
    private long lastEventMillis = -1;
    private long nextAttemptMillis;

    ViewManager(NodeIdentity identity, ClaimLimits limits, TakeoverRule takeoverRule, ClaimTable table) {
        this.table = table;
        this.self = new ViewMemberId(identity.host(), identity.incarnation());
        this.dataCentre = identity.location().dataCentre();
        this.limits = limits;
        this.takeoverRule = takeoverRule;
        reachability = new PeerReachability();
        syncSessions = new SyncSessions(table, reachability, limits.resendMillis());
        syncReceiver = new SyncReceiver(table);
        evidence = new TerminationEvidence(identity.location(), limits.hostListLagMillis());
        store = new ViewStore(dataCentre);
    }

    private ViewManager(ViewManager other, ClaimTable table) {
        this.table = table;
        self = other.self;
        dataCentre = other.dataCentre;
        limits = other.limits;
        takeoverRule = other.takeoverRule;
        reachability = other.reachability.copy();
        evidence = other.evidence.copy();
        store = other.store.copy();
        syncSessions = other.syncSessions.copy(table, reachability);
        syncReceiver = other.syncReceiver.copy(table);
        leavingHosts.addAll(other.leavingHosts);
        uninstalledHosts.addAll(other.uninstalledHosts);
        unconfirmedHosts.addAll(other.unconfirmedHosts);
        phase = other.phase;
        view = other.view;
        change = other.change;
        consentedView = other.consentedView;
        consentedProposer = other.consentedProposer;
        epoch = other.epoch;
        nextId = other.nextId;
        leaving = other.leaving;
        leavingSinceMillis = other.leavingSinceMillis;
        lastEventMillis = other.lastEventMillis;
        nextAttemptMillis = other.nextAttemptMillis;
    }

    ViewManager copy(ClaimTable copiedTable) {
        return new ViewManager(this, copiedTable);
    }

    ViewMemberId self() {
        return self;
    }

    /** Returns the view in which this host may order and replicate claims now. */
    Option<ClaimView> activeView() {
        return phase.canClaim() ? view : Option.none();
    }

    /** Returns the newest view known to this host, whether or not this host is a member. */
    Option<ClaimView> latestView() {
        return view;
    }

    /** Returns a counter that grows with each change of phase. */
    long epoch() {
        return epoch;
    }

    boolean isReachable(ViewMemberId member) {
        return reachability.isReachable(member);
    }

    /**
     * Returns whether no claim can be granted until the store recovers: the store is unavailable, and either no other
     * member can be queried, or a member is lost and only the store could remove it.
     */
    boolean isClaimingBlocked(long nowMillis) {
        if (!store.isUnavailable()) {
            return false;
        }
        if (phase == ViewPhase.OUTSIDE) {
            return reachableMembers().isEmpty();
        }
        if (phase == ViewPhase.STALE && unconfirmedHosts.isEmpty()) {
            return true;
        }
        return change.exists(ViewChange::byStore) || !lostMembers(nowMillis).isEmpty();
    }

    /** Returns whether a member is lost and cannot be removed from the view because the store is unavailable. */
    boolean isRemovalBlocked(ViewMemberId member, long nowMillis) {
        return store.isUnavailable()
                && view.isDefined()
                && lostMembers(nowMillis).contains(member);
    }

    boolean hasLeft() {
        return phase == ViewPhase.OUTSIDE && change.isEmpty() && uninstalledHosts.isEmpty();
    }

    boolean hasBeenLeavingFor(long millis, long nowMillis) {
        return leaving && nowMillis - leavingSinceMillis >= millis;
    }

    /**
     * Detects whether this process was paused. Other hosts may have considered a paused process terminated and formed a
     * view without it; alone in its old view it would then run a key that also runs in the new view.
     */
    void detectPause(long nowMillis, ActionList out) {
        boolean paused = lastEventMillis >= 0 && nowMillis - lastEventMillis > limits.pauseThresholdMillis();
        lastEventMillis = Math.max(lastEventMillis, nowMillis);
        if (paused && phase == ViewPhase.ACTIVE) {
            enterPhase(ViewPhase.STALE);
            // The reply to a read issued before the pause may show an outdated view.
            store.discardReads();
            view.get().others(self).forEach(member -> unconfirmedHosts.add(member.host()));
            requestConfirmation(out);
        }
    }

    void claimChanged(ClaimKey key) {
        syncSessions.claimChanged(key);
    }

    void connected(String host, long incarnation) {
        reachability.connected(host, incarnation);
        evidence.connected(host, incarnation);
    }

    void disconnected(String host, boolean refused, long nowMillis) {
        reachability.disconnected(host, nowMillis);
        if (refused) {
            evidence.connectionRefused(host);
        }
    }

    void markUnresponsive(String host) {
        reachability.markUnresponsive(host);
    }

    void messageReceived(String host, long incarnation) {
        if (view.exists(current -> current.contains(new ViewMemberId(host, incarnation)))) {
            reachability.messageReceived(host);
        }
    }

    void hostListUpdated(HostList list, long nowMillis) {
        evidence.hostListUpdated(list, nowMillis);
    }

    void leave(long nowMillis) {
        if (!leaving) {
            leaving = true;
            leavingSinceMillis = nowMillis;
        }
    }

    void storeChanged(List<StoreEntry> entries, long nowMillis) {
        String key = ViewRecordCodec.storeKey(dataCentre);
        entries.stream()
                .filter(entry -> entry.key().equals(key) && entry.modRevision() > 0)
                .forEach(entry -> store.update(Option.some(entry)));
        adoptRecordedView(nowMillis);
    }

    void storeReplied(long callId, StoreReply reply, long nowMillis, ActionList out) {
        Option<ViewStore.Call> call = store.callReplied(callId, reply);
        if (call.isEmpty()) {
            return;
        }
        if (store.isUnavailable()) {
            nextAttemptMillis = nowMillis + limits.storeRetryMillis();
        }
        switch (call.get().purpose()) {
            case READ -> recordRead(reply, nowMillis, out);
            case CHANGE -> changeReplied(call.get().view().get(), reply, nowMillis, out);
            case RECORD -> adoptRecordedView(nowMillis);
            default -> throw new IllegalStateException("unknown purpose of a store call");
        }
    }

    /**
     * Advances time: resends messages, drives pending view changes and sends due chunks of claims.
     *
     * @param resultsAcknowledged whether every member has acknowledged the results of the calls that this host ran
     */
    void tick(boolean resultsAcknowledged, long nowMillis, ActionList out) {
        sendInstalls(out);
        switch (phase) {
            case OUTSIDE -> joinOrForm(nowMillis, out);
            case STALE -> requestConfirmation(out);
            case STOPPED -> advanceChange(nowMillis, out);
            case ACTIVE -> maintain(resultsAcknowledged, nowMillis, out);
            default -> throw new IllegalStateException("unknown view phase");
        }
        syncSessions.sendDueChunks(nowMillis, out);
    }

    // Outside: join an existing view or form the first one.

    private void joinOrForm(long nowMillis, ActionList out) {
        if (leaving) {
            change = change.filter(pending -> !pending.canWithdraw());
        }
        if (change.isDefined()) {
            writeChange(nowMillis, out);
            return;
        }
        if (leaving || nowMillis < nextAttemptMillis) {
            return;
        }
        nextAttemptMillis = nowMillis + limits.storeRetryMillis();
        if (canTakeOver(nowMillis)) {
            changeByStore(view.get().takeover(newId(), self, nowMillis), nowMillis, out);
            return;
        }
        List<ViewMemberId> members = reachableMembers();
        if (!members.isEmpty()) {
            syncReceiver.requestJoin(members, out);
        }
        if (members.isEmpty()) {
            reachability.reachableHosts().forEach(host -> out.send(host, new ViewAsk(0, "")));
        }
        if (members.isEmpty() || syncReceiver.isUnanswered()) {
            store.read(out);
        }
    }

    private List<ViewMemberId> reachableMembers() {
        return view.map(known -> known.members().stream()
                        .filter(reachability::isReachable)
                        .toList())
                .getOrElse(List.of());
    }

    private boolean canTakeOver(long nowMillis) {
        if (view.isEmpty() || !store.isRecordKnown()) {
            return false;
        }
        List<ViewMemberId> members = view.toJavaStream()
                .flatMap(known -> store.recorded()
                        .toJavaStream()
                        .flatMap(recorded -> Stream.concat(known.members().stream(), recorded.members().stream())))
                .distinct()
                .toList();
        boolean allTerminated = members.stream().allMatch(this::hasTerminated);
        boolean allUnreachable = members.stream().allMatch(member -> isUnreachable(member, nowMillis));
        return store.recorded().isDefined() && takeoverRule.canTakeOver(allTerminated, allUnreachable);
    }

    private boolean isUnreachable(ViewMemberId member, long nowMillis) {
        return member.equals(self) || reachability.isLost(member, limits.disconnectGraceMillis(), nowMillis);
    }

    private boolean hasTerminated(ViewMemberId member) {
        // This process is active in no view while it is outside, and an earlier process of its host has terminated.
        boolean ownProcess = member.host().equals(self.host()) && member.incarnation() <= self.incarnation();
        return ownProcess || evidence.hasTerminated(member);
    }

    private void recordRead(StoreReply reply, long nowMillis, ActionList out) {
        if (!(reply instanceof StoreReply.Found)) {
            return;
        }
        adoptRecordedView(nowMillis);
        if (phase == ViewPhase.STALE) {
            enterPhase(ViewPhase.ACTIVE);
        }
        if (phase == ViewPhase.OUTSIDE && change.isEmpty() && !leaving) {
            boolean first = store.recorded().isEmpty() && view.isEmpty();
            if (first) {
                changeByStore(new ClaimView(dataCentre, 1, 0, newId(), List.of(self)), nowMillis, out);
            } else if (canTakeOver(nowMillis)) {
                changeByStore(view.get().takeover(newId(), self, nowMillis), nowMillis, out);
            }
        }
    }

    // Active: remove lost members, admit joining hosts and release leaving ones.

    private void maintain(boolean resultsAcknowledged, long nowMillis, ActionList out) {
        List<ViewMemberId> lost = lostMembers(nowMillis);
        if (nowMillis < nextAttemptMillis) {
            return;
        }
        if (!lost.isEmpty()) {
            if (isRemovalDue(lost, nowMillis)) {
                removeLost(lost, nowMillis, out);
            }
            return;
        }
        if (leaving && resultsAcknowledged) {
            leavingHosts.add(self.host());
        }
        if (!view.get().members().get(0).equals(self)) {
            requestLeave(nowMillis, out);
            return;
        }
        writeRecord(out);
        adjustMembers(nowMillis, out);
    }

    private List<ViewMemberId> lostMembers(long nowMillis) {
        return view.get().others(self).stream()
                .filter(member -> reachability.isLost(member, limits.disconnectGraceMillis(), nowMillis))
                .toList();
    }

    private boolean isRemovalDue(List<ViewMemberId> lost, long nowMillis) {
        List<ViewMemberId> remaining = view.get().members().stream()
                .filter(member -> !lost.contains(member))
                .toList();
        long graceMillis = limits.disconnectGraceMillis() + remaining.indexOf(self) * limits.resendMillis();
        return lost.stream().allMatch(member -> reachability.isLost(member, graceMillis, nowMillis));
    }

    /**
     * Removes lost members: this host, a member of the previous view, stops that view first and lets the store decide.
     */
    private void removeLost(List<ViewMemberId> lost, long nowMillis, ActionList out) {
        List<ViewMemberId> newMembers = view.get().members().stream()
                .filter(member -> !lost.contains(member))
                // A leaving host still has to remove lost members; otherwise it could neither claim nor leave.
                .filter(member -> member.equals(self) || !leavingHosts.contains(member.host()))
                .filter(member -> consentedView.forAll(next -> next.contains(member)))
                .toList();
        if (newMembers.contains(self)) {
            ClaimView next = consentedView.getOrElse(view.get()).next(newId(), newMembers);
            changeByStore(withCompleteFrom(next), nowMillis, out);
        }
    }

    private ClaimView withCompleteFrom(ClaimView next) {
        return new ClaimView(
                dataCentre, next.number(), view.get().completeFromMillis(), next.changeId(), next.members());
    }

    private void requestLeave(long nowMillis, ActionList out) {
        if (leavingHosts.contains(self.host())) {
            nextAttemptMillis = nowMillis + limits.storeRetryMillis();
            out.send(
                    view.get().members().get(0).host(), new ViewLeave(view.get().number()));
        }
    }

    /** Writes a view that was formed by consent, without the store, to the store. */
    private void writeRecord(ActionList out) {
        if (store.recorded().equals(view) || store.isCalling(ViewStore.Purpose.RECORD)) {
            return;
        }
        if (store.isRecordKnown()) {
            store.write(ViewStore.Purpose.RECORD, view.get(), out);
        } else {
            store.read(out);
        }
    }

    private void adjustMembers(long nowMillis, ActionList out) {
        List<ViewMemberId> joiners = syncSessions.cleanJoiners();
        List<ViewMemberId> staying = view.get().members().stream()
                .filter(member -> !leavingHosts.contains(member.host()))
                .toList();
        boolean hasLeaving = staying.size() < view.get().members().size();
        if (joiners.isEmpty() && !hasLeaving) {
            return;
        }
        if (staying.isEmpty() && joiners.isEmpty()) {
            changeByStore(view.get().next(newId(), List.of()), nowMillis, out);
            return;
        }
        // Without this check, unrecorded changes could replace every member that the store records; a new host would
        // find all recorded members terminated and form a second view beside the active one.
        boolean hasRecordedMember = store.recorded().exists(recorded -> recorded.containsAny(staying));
        List<ViewMemberId> newMembers =
                new ArrayList<>(hasRecordedMember ? staying : view.get().members());
        newMembers.addAll(joiners);
        if (newMembers.size() > view.get().members().size() || hasRecordedMember) {
            changeByConsent(view.get().next(newId(), newMembers), nowMillis, out);
        }
    }

    private void changeByConsent(ClaimView next, long nowMillis, ActionList out) {
        io.vavr.collection.List<String> awaited = io.vavr.collection.List.ofAll(
                        view.get().members())
                .appendAll(next.members())
                .distinct()
                .remove(self)
                .map(ViewMemberId::host)
                .distinct();
        enterPhase(ViewPhase.STOPPED);
        change = Option.some(ViewChange.byConsent(next, awaited, nowMillis));
        sendProposals(out);
    }

    private void changeByStore(ClaimView next, long nowMillis, ActionList out) {
        if (phase.isMember()) {
            enterPhase(ViewPhase.STOPPED);
        }
        change = Option.some(ViewChange.byStore(next, nowMillis));
        writeChange(nowMillis, out);
    }

    // Stopped: complete or withdraw the pending change.

    private void advanceChange(long nowMillis, ActionList out) {
        if (change.isEmpty()) {
            awaitConsentedView(nowMillis, out);
            return;
        }
        if (change.get().byStore()) {
            writeChange(nowMillis, out);
            return;
        }
        if (nowMillis - change.get().proposedAtMillis() >= limits.openTimeoutMillis()) {
            change.get().awaitedHosts().forEach(this::handleMissingConsent);
            withdraw(nowMillis, out);
        } else if (nowMillis - change.get().lastSentAtMillis() >= limits.resendMillis()) {
            change = change.map(pending -> pending.withSent(nowMillis));
            sendProposals(out);
        }
    }

    private void handleMissingConsent(String host) {
        if (view.get().memberOn(host).isDefined()) {
            reachability.markUnresponsive(host);
        } else {
            syncSessions.end(host);
        }
    }

    private void awaitConsentedView(long nowMillis, ActionList out) {
        List<ViewMemberId> lost = lostMembers(nowMillis);
        boolean proposerLost = lost.stream().anyMatch(member -> member.host().equals(consentedProposer));
        if (proposerLost && isRemovalDue(lost, nowMillis)) {
            removeLost(lost, nowMillis, out);
        } else {
            out.send(
                    consentedProposer,
                    new ViewAsk(
                            view.get().number(),
                            consentedView.map(ClaimView::changeId).getOrElse("")));
        }
    }

    private void sendProposals(ActionList out) {
        ViewChange pending = change.get();
        for (String host : pending.awaitedHosts()) {
            Option<SyncSession> sync = syncSessions.find(host);
            boolean member = view.get().memberOn(host).isDefined();
            // A joining host must hold every claim of the current view before it consents to the next one.
            if (member || sync.exists(SyncSession::isClean)) {
                out.send(
                        host,
                        new ViewPropose(
                                view.get().number(),
                                sync.map(SyncSession::id).getOrElse(""),
                                ViewRecordCodec.toRecord(pending.proposed())));
            }
        }
    }

    private void withdraw(long nowMillis, ActionList out) {
        ViewChange pending = change.get();
        change = Option.none();
        nextAttemptMillis = nowMillis + limits.storeRetryMillis();
        if (consentedView.isEmpty()) {
            enterPhase(ViewPhase.ACTIVE);
        }
        ViewWithdraw message = new ViewWithdraw(pending.proposed().changeId());
        view.get().others(self).forEach(member -> out.send(member.host(), message));
        pending.proposed().others(self).stream()
                .filter(member -> !view.get().contains(member))
                .forEach(member -> out.send(member.host(), message));
    }

    private void writeChange(long nowMillis, ActionList out) {
        ViewChange pending = change.get();
        if (pending.callInFlight() || (pending.lastSentAtMillis() > 0 && nowMillis < nextAttemptMillis)) {
            return;
        }
        if (!store.isRecordKnown()) {
            store.read(out);
            return;
        }
        change = Option.some(pending.withStoreCall(nowMillis));
        store.write(ViewStore.Purpose.CHANGE, pending.proposed(), out);
    }

    private void changeReplied(ClaimView proposed, StoreReply reply, long nowMillis, ActionList out) {
        boolean current = change.exists(pending -> pending.proposed().equals(proposed));
        if (!current) {
            adoptRecordedView(nowMillis);
            return;
        }
        change = change.map(pending -> pending.withStoreReply(reply instanceof StoreReply.Unsure));
        if (reply instanceof StoreReply.Written) {
            installFormed(proposed, nowMillis, out);
        } else if (reply instanceof StoreReply.Conflicted) {
            changeConflicted(proposed, nowMillis, out);
        } else if (reply instanceof StoreReply.Unavailable && change.get().canWithdraw()) {
            abandonChange(nowMillis, out);
        }
        // A write with an unknown outcome is retried unchanged when due: the record shows whether it was applied,
        // whereas an unchanged record does not prove that it never will be.
    }

    private void changeConflicted(ClaimView proposed, long nowMillis, ActionList out) {
        if (store.recorded().exists(recorded -> recorded.changeId().equals(proposed.changeId()))) {
            installFormed(proposed, nowMillis, out);
            return;
        }
        adoptRecordedView(nowMillis);
        if (change.isEmpty()) {
            return;
        }
        boolean superseded =
                !phase.isMember() || store.recorded().exists(recorded -> recorded.number() >= proposed.number());
        if (superseded) {
            abandonChange(nowMillis, out);
        } else {
            writeChange(nowMillis, out);
        }
    }

    private void abandonChange(long nowMillis, ActionList out) {
        if (phase.isMember()) {
            withdraw(nowMillis, out);
        } else {
            change = Option.none();
        }
    }

    /** Installs a view that this host has just formed and sends it to the members of the previous and the new view. */
    private void installFormed(ClaimView formed, long nowMillis, ActionList out) {
        Set<String> others = new TreeSet<>();
        view.forEach(previous -> previous.others(self).forEach(member -> others.add(member.host())));
        formed.others(self).forEach(member -> others.add(member.host()));
        install(formed, nowMillis);
        uninstalledHosts.clear();
        uninstalledHosts.addAll(others);
        sendInstalls(out);
    }

    private void install(ClaimView next, long nowMillis) {
        view = Option.some(next);
        change = Option.none();
        consentedView = Option.none();
        // A host that only observes a view may still be ready for the view after it.
        if (next.contains(self)) {
            syncReceiver.clearReady();
        }
        unconfirmedHosts.clear();
        syncSessions.endForMembers(next);
        leavingHosts.removeIf(host -> next.memberOn(host).isEmpty());
        evidence.viewUpdated(nowMillis);
        reachability.viewChanged();
        enterPhase(next.contains(self) ? ViewPhase.ACTIVE : ViewPhase.OUTSIDE);
    }

    private void enterPhase(ViewPhase next) {
        phase = next;
        epoch++;
        if (!next.isMember()) {
            syncSessions.endAll();
            leavingHosts.clear();
        }
    }

    // Adopt views that other hosts formed.

    private void adoptRecordedView(long nowMillis) {
        store.recorded().forEach(recorded -> adoptIfNewer(recorded, nowMillis));
    }

    private void adoptIfNewer(ClaimView next, long nowMillis) {
        if (view.exists(current -> next.number() <= current.number())) {
            return;
        }
        boolean continuing = phase.isMember() && view.exists(current -> current.contains(self));
        boolean prepared = syncReceiver.isReadyFor(next.changeId());
        boolean own = change.exists(pending -> pending.proposed().equals(next));
        if (!next.contains(self) || continuing || prepared || own) {
            install(next, nowMillis);
            return;
        }
        // The view lists this host, but this process does not hold the claims: it must be removed and copy them first.
        view = Option.some(next);
        evidence.viewUpdated(nowMillis);
    }

    void receiveInstall(String host, ViewInstall message, long nowMillis, ActionList out) {
        ViewRecordCodec.fromRecord(message.recorded())
                .forEach(recorded -> store.update(Option.some(recorded), message.recordRevision()));
        adoptRecordedView(nowMillis);
        Option<ClaimView> received = ViewRecordCodec.fromRecord(message.view());
        // While the store may still apply the change of this host, only the store can reveal its outcome: being active
        // in another view meanwhile would grant claims that the members of that change do not hold.
        boolean awaitsStore = change.exists(ViewChange::byStore);
        if (!awaitsStore) {
            received.forEach(next -> adoptIfNewer(next, nowMillis));
        }
        viewConfirmed(host, received);
        boolean adopted = phase.isMember() || view.exists(current -> !current.contains(self));
        if (adopted && view.equals(received)) {
            out.send(host, new ViewInstalled(view.get().number()));
        }
    }

    private void viewConfirmed(String host, Option<ClaimView> received) {
        if (phase != ViewPhase.STALE || !view.equals(received) || !unconfirmedHosts.remove(host)) {
            return;
        }
        if (unconfirmedHosts.isEmpty()) {
            enterPhase(ViewPhase.ACTIVE);
        }
    }

    private void requestConfirmation(ActionList out) {
        store.read(out);
        ViewAsk ask = new ViewAsk(view.get().number(), "");
        unconfirmedHosts.forEach(host -> out.send(host, ask));
    }

    void receiveInstalled(String host, long number) {
        if (view.exists(current -> current.number() <= number)) {
            uninstalledHosts.remove(host);
        }
    }

    private void sendInstalls(ActionList out) {
        uninstalledHosts.removeIf(host -> reachability.incarnation(host).isEmpty());
        uninstalledHosts.forEach(host -> sendView(host, out));
    }

    void sendView(String host, ActionList out) {
        view.forEach(current -> out.send(
                host,
                new ViewInstall(
                        ViewRecordCodec.toRecord(current),
                        Math.max(store.revision(), 0),
                        store.recorded().map(ViewRecordCodec::toRecord).getOrNull())));
    }

    void receiveAsk(String host, ViewAsk message, ActionList out) {
        boolean own = message.changeId().startsWith(changeIdPrefix());
        boolean formed = view.exists(current -> current.changeId().equals(message.changeId()));
        boolean pending =
                change.exists(proposal -> proposal.proposed().changeId().equals(message.changeId()));
        if (own && !formed && !pending && view.exists(current -> current.number() <= message.viewNumber())) {
            out.send(host, new ViewWithdraw(message.changeId()));
            return;
        }
        sendView(host, out);
    }

    // Answer proposals of other members.

    void receivePropose(String host, long incarnation, ViewPropose message, ActionList out) {
        Option<ClaimView> received = ViewRecordCodec.fromRecord(message.view());
        if (received.isEmpty()) {
            return;
        }
        ClaimView proposed = received.get();
        if (phase == ViewPhase.OUTSIDE) {
            boolean ready = proposed.contains(self) && syncReceiver.consent(message.sessionId(), proposed.changeId());
            out.send(host, new ViewConsent(proposed.changeId(), ready));
            return;
        }
        boolean sameView =
                view.get().number() == message.fromNumber() && view.get().contains(new ViewMemberId(host, incarnation));
        boolean retried = consentedView.exists(consented -> consented.changeId().equals(proposed.changeId()));
        boolean consents = sameView && change.isEmpty() && (retried || phase == ViewPhase.ACTIVE);
        if (consents && !retried) {
            consentedView = received;
            consentedProposer = host;
            enterPhase(ViewPhase.STOPPED);
        }
        if (sameView && phase != ViewPhase.STALE) {
            out.send(host, new ViewConsent(proposed.changeId(), consents));
        }
    }

    void receiveConsent(String host, ViewConsent message, long nowMillis, ActionList out) {
        boolean current = change.exists(
                pending -> !pending.byStore() && pending.proposed().changeId().equals(message.changeId()));
        if (!current) {
            if (message.agreed()) {
                receiveAsk(host, new ViewAsk(Long.MAX_VALUE, message.changeId()), out);
            }
            return;
        }
        if (!message.agreed()) {
            endJoinerSync(host);
            withdraw(nowMillis, out);
            return;
        }
        change = change.map(pending -> pending.withConsent(host));
        if (change.get().awaitedHosts().isEmpty()) {
            installFormed(change.get().proposed(), nowMillis, out);
        }
    }

    private void endJoinerSync(String host) {
        if (view.get().memberOn(host).isEmpty()) {
            syncSessions.end(host);
        }
    }

    void receiveWithdraw(String changeId) {
        if (syncReceiver.isReadyFor(changeId)) {
            syncReceiver.clearReady();
        }
        boolean consented = consentedView.exists(next -> next.changeId().equals(changeId));
        if (consented && change.isEmpty()) {
            consentedView = Option.none();
            enterPhase(ViewPhase.ACTIVE);
        }
    }

    void receiveLeave(String host, long incarnation) {
        if (phase.isMember() && view.get().contains(new ViewMemberId(host, incarnation))) {
            leavingHosts.add(host);
        }
    }

    // Copy claims to joining hosts.

    void receiveJoin(String host, long incarnation, ViewJoin message, ActionList out) {
        ViewMemberId joiner = new ViewMemberId(host, incarnation);
        if (phase == ViewPhase.OUTSIDE) {
            sendView(host, out);
            return;
        }
        if (view.get().memberOn(host).isDefined()) {
            // The view lists this host although it is outside: it has lost its claims, or it is a later process.
            sendView(host, out);
            reachability.markUnresponsive(host);
            return;
        }
        ViewMemberId first = view.get().members().get(0);
        if (!first.equals(self) && reachability.isReachable(first)) {
            sendView(host, out);
            return;
        }
        syncSessions.startIfNeeded(newId(), joiner, message.sessionId());
    }

    void receiveSynced(String host, ViewSynced message, long nowMillis, ActionList out) {
        syncSessions.acknowledged(host, message);
        syncSessions.sendDueChunks(nowMillis, out);
    }

    void receiveSync(String host, ViewSync message, ActionList out) {
        if (!phase.isMember() && !leaving) {
            syncReceiver.receive(host, message, out);
        }
    }

    private String changeIdPrefix() {
        return self.host() + "/" + self.incarnation() + "/";
    }

    private String newId() {
        return changeIdPrefix() + nextId++;
    }

    /** Returns all state that determines future behaviour, except times; equal keys imply equal behaviour. */
    String stateKey() {
        return String.join(
                "; ",
                phase + " " + view + " " + change.map(ViewManager::withoutTimes) + " " + consentedView
                        + consentedProposer,
                syncReceiver.stateKey() + " " + uninstalledHosts + unconfirmedHosts + leavingHosts + leaving,
                reachability.stateKey(),
                evidence.stateKey(),
                store.stateKey(),
                syncSessions.stateKey());
    }

    private static ViewChange withoutTimes(ViewChange pending) {
        return new ViewChange(
                pending.proposed(),
                pending.byStore(),
                pending.awaitedHosts(),
                pending.maybeApplied(),
                pending.callInFlight(),
                0,
                0);
    }
}
