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
 * Which view a host is in, and how views follow one another.
 *
 * <p>Invariants: a view is formed either by compare-and-swap in the store, proposed by a member of the old view that
 * has stopped it, or by consent of every member of the old view, or, with no member of the old one, when each of them
 * has surely ended. A host acts in one view at a time and never goes back to an older one. While the store may still
 * apply a change that this host asked for, this host acts in no view and consents to none. Every view has a member of
 * the view that the store holds, so that whoever finds all of the latter ended knows that the former cannot claim. Not
 * thread safe; guarded by the lock of {@link Claims}.
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

    ViewManager(NodeIdentity self, ClaimLimits limits, TakeoverRule rule, ClaimTable table) {
        this.table = table;
        this.self = new ViewMemberId(self.host(), self.incarnation());
        this.dataCentre = self.place().dataCentre();
        this.limits = limits;
        this.takeoverRule = rule;
        reachability = new PeerReachability();
        syncSessions = new SyncSessions(table, reachability, limits.resendMillis());
        syncReceiver = new SyncReceiver(table);
        evidence = new TerminationEvidence(self.place(), limits.hostListLagMillis());
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

    /** The view in which this host may order and copy claims now. */
    Option<ClaimView> activeView() {
        return phase.canClaim() ? view : Option.none();
    }

    /** The newest view that this host knows, whether it is in it or not. */
    Option<ClaimView> latestView() {
        return view;
    }

    /** Grows with each change of what this host may do. */
    long epoch() {
        return epoch;
    }

    boolean isReachable(ViewMemberId member) {
        return reachability.isReachable(member);
    }

    /**
     * Whether waiting for the right to claim has no prospect: there is nobody to be asked, or a member is lost and only
     * the store could take it out, which does not answer.
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

    /** Whether a member is lost and nothing but the store, which does not answer, could take it out of the view. */
    boolean isRemovalBlocked(ViewMemberId member, long nowMillis) {
        return store.isUnavailable() && view.isDefined() && lostMembers(nowMillis).contains(member);
    }

    boolean hasLeft() {
        return phase == ViewPhase.OUTSIDE && change.isEmpty() && uninstalledHosts.isEmpty();
    }

    boolean hasBeenLeavingFor(long millis, long nowMillis) {
        return leaving && nowMillis - leavingSinceMillis >= millis;
    }

    /**
     * Looks whether this host was paused. A host that was paused may have been taken for ended, and a new view be
     * formed without it; alone in its old view it would then run a key that also runs in the new one.
     */
    void detectPause(long nowMillis, ActionList out) {
        boolean paused = lastEventMillis >= 0 && nowMillis - lastEventMillis > limits.pauseThresholdMillis();
        lastEventMillis = Math.max(lastEventMillis, nowMillis);
        if (paused && phase == ViewPhase.ACTIVE) {
            enterPhase(ViewPhase.STALE);
            // The answer to a read from before the pause would show the view as it was then.
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
            default -> throw new IllegalStateException("no such purpose");
        }
    }

    /**
     * Lets time pass.
     *
     * @param resultsKnown whether every member knows how the calls that this host ran have ended
     */
    void tick(boolean resultsKnown, long nowMillis, ActionList out) {
        sendInstalls(out);
        switch (phase) {
            case OUTSIDE -> joinOrForm(nowMillis, out);
            case STALE -> requestConfirmation(out);
            case STOPPED -> advanceChange(nowMillis, out);
            case ACTIVE -> maintain(resultsKnown, nowMillis, out);
            default -> throw new IllegalStateException("no such phase");
        }
        syncSessions.sendDueChunks(nowMillis, out);
    }

    // Outside: find a view to join, or form one.

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
        return view.map(known -> known.members().stream().filter(reachability::isReachable).toList())
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
        boolean allEnded = members.stream().allMatch(this::hasTerminated);
        boolean allSilent = members.stream().allMatch(member -> isUnreachable(member, nowMillis));
        return store.recorded().isDefined() && takeoverRule.canTakeOver(allEnded, allSilent);
    }

    private boolean isUnreachable(ViewMemberId member, long nowMillis) {
        return member.equals(self) || reachability.isLost(member, limits.disconnectGraceMillis(), nowMillis);
    }

    private boolean hasTerminated(ViewMemberId member) {
        // This process itself acts in no view while it is outside, so neither does an older one of its host.
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

    // Inside: keep the view fit.

    private void maintain(boolean resultsKnown, long nowMillis, ActionList out) {
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
        if (leaving && resultsKnown) {
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
        List<ViewMemberId> rest = view.get().members().stream()
                .filter(member -> !lost.contains(member))
                .toList();
        long wait = limits.disconnectGraceMillis() + rest.indexOf(self) * limits.resendMillis();
        return lost.stream().allMatch(member -> reachability.isLost(member, wait, nowMillis));
    }

    /** Takes lost members out: this host, a member of the old view, stops it first and lets the store decide. */
    private void removeLost(List<ViewMemberId> lost, long nowMillis, ActionList out) {
        List<ViewMemberId> wanted = view.get().members().stream()
                .filter(member -> !lost.contains(member))
                // A host that is leaving still has to take out the lost ones, or it could neither claim nor leave.
                .filter(member -> member.equals(self) || !leavingHosts.contains(member.host()))
                .filter(member -> consentedView.forAll(next -> next.contains(member)))
                .toList();
        if (wanted.contains(self)) {
            ClaimView next = consentedView.getOrElse(view.get()).next(newId(), wanted);
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

    /** Writes down a view that its members have formed without the store. */
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
        boolean someLeave = staying.size() < view.get().members().size();
        if (joiners.isEmpty() && !someLeave) {
            return;
        }
        if (staying.isEmpty() && joiners.isEmpty()) {
            changeByStore(view.get().next(newId(), List.of()), nowMillis, out);
            return;
        }
        // Without this, members could replace one another unrecorded until none that the store names is left; a new
        // host would find all of those ended and form a second view beside the living one.
        boolean anchored = store.recorded().exists(recorded -> recorded.containsAny(staying));
        List<ViewMemberId> wanted =
                new ArrayList<>(anchored ? staying : view.get().members());
        wanted.addAll(joiners);
        if (wanted.size() > view.get().members().size() || anchored) {
            changeByConsent(view.get().next(newId(), wanted), nowMillis, out);
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

    // Stopped: see the change through.

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
            // A joining host must hold every claim of the old view before it agrees to be in the next one.
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
        // An unsure write is asked for again, word for word, when it is due: the record shows whether it was applied,
        // and a record that is still the old one would not show that it never will be.
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

    /** Takes a view that this host has just formed. */
    private void installFormed(ClaimView formed, long nowMillis, ActionList out) {
        Set<String> others = new TreeSet<>();
        view.forEach(old -> old.others(self).forEach(member -> others.add(member.host())));
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
        // A host that only learns of a view may still be ready for the one after it.
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

    // Learn of views that others formed.

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
        // The view names this host, but it does not hold the claims: it must be taken out and copy them first.
        view = Option.some(next);
        evidence.viewUpdated(nowMillis);
    }

    void receiveInstall(String host, ViewInstall message, long nowMillis, ActionList out) {
        ViewRecordCodec.fromRecord(message.recorded())
                .forEach(recorded -> store.update(Option.some(recorded), message.recordRevision()));
        adoptRecordedView(nowMillis);
        Option<ClaimView> told = ViewRecordCodec.fromRecord(message.view());
        // While the store may still form the change of this host, only the store can tell what came of it: acting in
        // another view meanwhile would grant claims that the members of that change do not hold.
        boolean mine = change.exists(ViewChange::byStore);
        if (!mine) {
            told.forEach(next -> adoptIfNewer(next, nowMillis));
        }
        viewConfirmed(host, told);
        boolean taken = phase.isMember() || view.exists(current -> !current.contains(self));
        if (taken && view.equals(told)) {
            out.send(host, new ViewInstalled(view.get().number()));
        }
    }

    private void viewConfirmed(String host, Option<ClaimView> told) {
        if (phase != ViewPhase.STALE || !view.equals(told) || !unconfirmedHosts.remove(host)) {
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
        boolean mine = message.changeId().startsWith(changeIdPrefix());
        boolean formed = view.exists(current -> current.changeId().equals(message.changeId()));
        boolean pending =
                change.exists(proposal -> proposal.proposed().changeId().equals(message.changeId()));
        if (mine && !formed && !pending && view.exists(current -> current.number() <= message.viewNumber())) {
            out.send(host, new ViewWithdraw(message.changeId()));
            return;
        }
        sendView(host, out);
    }

    // Consent to what others propose.

    void receivePropose(String host, long incarnation, ViewPropose message, ActionList out) {
        Option<ClaimView> told = ViewRecordCodec.fromRecord(message.view());
        if (told.isEmpty()) {
            return;
        }
        ClaimView proposed = told.get();
        if (phase == ViewPhase.OUTSIDE) {
            boolean ready = proposed.contains(self) && syncReceiver.consent(message.sessionId(), proposed.changeId());
            out.send(host, new ViewConsent(proposed.changeId(), ready));
            return;
        }
        boolean sameView =
                view.get().number() == message.fromNumber() && view.get().contains(new ViewMemberId(host, incarnation));
        boolean again = consentedView.exists(agreed -> agreed.changeId().equals(proposed.changeId()));
        boolean agrees = sameView && change.isEmpty() && (again || phase == ViewPhase.ACTIVE);
        if (agrees && !again) {
            consentedView = told;
            consentedProposer = host;
            enterPhase(ViewPhase.STOPPED);
        }
        if (sameView && phase != ViewPhase.STALE) {
            out.send(host, new ViewConsent(proposed.changeId(), agrees));
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
        boolean agreed = consentedView.exists(next -> next.changeId().equals(changeId));
        if (agreed && change.isEmpty()) {
            consentedView = Option.none();
            enterPhase(ViewPhase.ACTIVE);
        }
    }

    void receiveLeave(String host, long incarnation) {
        if (phase.isMember() && view.get().contains(new ViewMemberId(host, incarnation))) {
            leavingHosts.add(host);
        }
    }

    // Copy the claims to hosts that join.

    void receiveJoin(String host, long incarnation, ViewJoin message, ActionList out) {
        ViewMemberId joiner = new ViewMemberId(host, incarnation);
        if (phase == ViewPhase.OUTSIDE) {
            sendView(host, out);
            return;
        }
        if (view.get().memberOn(host).isDefined()) {
            // It is named by the view and yet is outside: it has lost what it held, or is a later process.
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

    /** All that decides what this host does next, but for the time; equal texts mean equal futures. */
    String stateKey() {
        return String.join(
                "; ",
                phase + " " + view + " " + change.map(ViewManager::withoutTimes) + " " + consentedView + consentedProposer,
                syncReceiver.stateKey() + " " + uninstalledHosts + unconfirmedHosts + leavingHosts + leaving,
                reachability.stateKey(),
                evidence.stateKey(),
                store.stateKey(),
                syncSessions.stateKey());
    }

    private static ViewChange withoutTimes(ViewChange pending) {
        return new ViewChange(
                pending.proposed(), pending.byStore(), pending.awaitedHosts(), pending.maybeApplied(), pending.callInFlight(), 0, 0);
    }
}
