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
final class ViewKeeper {
    private final ViewMemberId me;
    private final String dataCentre;
    private final ClaimLimits limits;
    private final TakeoverRule rule;
    private final ClaimTable table;
    private final Links links;
    private final Evidence evidence;
    private final ViewStore store;
    private final SyncSessions syncs;
    private final SyncCopy copying;
    private final Set<String> leavers = new TreeSet<>();
    private final Set<String> uninstalled = new TreeSet<>();
    private final Set<String> unconfirmed = new TreeSet<>();
    private ViewPhase phase = ViewPhase.OUTSIDE;
    private Option<ClaimView> view = Option.none();
    private Option<ViewChange> change = Option.none();
    private Option<ClaimView> consented = Option.none();
    private String consentedTo = "";
    private long epoch;
    private long nextId = 1;
    private boolean leaving;
    private long leaveSinceMillis;
    private long lastEventMillis = -1;
    private long nextTryMillis;

    ViewKeeper(NodeIdentity self, ClaimLimits limits, TakeoverRule rule, ClaimTable table) {
        this.table = table;
        this.me = new ViewMemberId(self.host(), self.incarnation());
        this.dataCentre = self.place().dataCentre();
        this.limits = limits;
        this.rule = rule;
        links = new Links();
        syncs = new SyncSessions(table, links, limits.resendMillis());
        copying = new SyncCopy(table);
        evidence = new Evidence(self.place(), limits.listLagMillis());
        store = new ViewStore(dataCentre);
    }

    private ViewKeeper(ViewKeeper other, ClaimTable table) {
        this.table = table;
        me = other.me;
        dataCentre = other.dataCentre;
        limits = other.limits;
        rule = other.rule;
        links = other.links.copy();
        evidence = other.evidence.copy();
        store = other.store.copy();
        syncs = other.syncs.copy(table, links);
        copying = other.copying.copy(table);
        leavers.addAll(other.leavers);
        uninstalled.addAll(other.uninstalled);
        unconfirmed.addAll(other.unconfirmed);
        phase = other.phase;
        view = other.view;
        change = other.change;
        consented = other.consented;
        consentedTo = other.consentedTo;
        epoch = other.epoch;
        nextId = other.nextId;
        leaving = other.leaving;
        leaveSinceMillis = other.leaveSinceMillis;
        lastEventMillis = other.lastEventMillis;
        nextTryMillis = other.nextTryMillis;
    }

    ViewKeeper copy(ClaimTable copiedTable) {
        return new ViewKeeper(this, copiedTable);
    }

    ViewMemberId me() {
        return me;
    }

    /** The view in which this host may order and copy claims now. */
    Option<ClaimView> active() {
        return phase.mayClaim() ? view : Option.none();
    }

    /** The newest view that this host knows, whether it is in it or not. */
    Option<ClaimView> known() {
        return view;
    }

    /** Grows with each change of what this host may do. */
    long epoch() {
        return epoch;
    }

    boolean isUp(ViewMemberId member) {
        return links.isUp(member);
    }

    /**
     * Whether waiting for the right to claim has no prospect: there is nobody to be asked, or a member is lost and only
     * the store could take it out, which does not answer.
     */
    boolean isHopeless(long nowMillis) {
        if (!store.isDown()) {
            return false;
        }
        if (phase == ViewPhase.OUTSIDE) {
            return reachableMembers().isEmpty();
        }
        if (phase == ViewPhase.STALE && unconfirmed.isEmpty()) {
            return true;
        }
        return change.exists(ViewChange::byStore) || !lostMembers(nowMillis).isEmpty();
    }

    /** Whether a member is lost and nothing but the store, which does not answer, could take it out of the view. */
    boolean isLostForNow(ViewMemberId member, long nowMillis) {
        return store.isDown() && view.isDefined() && lostMembers(nowMillis).contains(member);
    }

    boolean hasLeft() {
        return phase == ViewPhase.OUTSIDE && change.isEmpty() && uninstalled.isEmpty();
    }

    boolean isLeavingSince(long millis, long nowMillis) {
        return leaving && nowMillis - leaveSinceMillis >= millis;
    }

    /**
     * Looks whether this host was paused. A host that was paused may have been taken for ended, and a new view be
     * formed without it; alone in its old view it would then run a key that also runs in the new one.
     */
    void noticeTime(long nowMillis, StepList out) {
        boolean paused = lastEventMillis >= 0 && nowMillis - lastEventMillis > limits.pauseMillis();
        lastEventMillis = Math.max(lastEventMillis, nowMillis);
        if (paused && phase == ViewPhase.ACTIVE) {
            enter(ViewPhase.STALE);
            // The answer to a read from before the pause would show the view as it was then.
            store.dropReads();
            view.get().others(me).forEach(member -> unconfirmed.add(member.host()));
            confirm(out);
        }
    }

    void changed(ClaimKey key) {
        syncs.changed(key);
    }

    void connected(String host, long incarnation) {
        links.connected(host, incarnation);
        evidence.connected(host, incarnation);
    }

    void lost(String host, boolean refused, long nowMillis) {
        links.lost(host, nowMillis);
        if (refused) {
            evidence.refused(host);
        }
    }

    void silent(String host) {
        links.silent(host);
    }

    void heard(String host, long incarnation) {
        if (view.exists(current -> current.contains(new ViewMemberId(host, incarnation)))) {
            links.heard(host);
        }
    }

    void listed(HostList list, long nowMillis) {
        evidence.listed(list, nowMillis);
    }

    void leave(long nowMillis) {
        if (!leaving) {
            leaving = true;
            leaveSinceMillis = nowMillis;
        }
    }

    void storeChanged(List<StoreEntry> entries, long nowMillis) {
        String key = ViewRecords.storeKey(dataCentre);
        entries.stream()
                .filter(entry -> entry.key().equals(key) && entry.modRevision() > 0)
                .forEach(entry -> store.learn(Option.some(entry)));
        followRecord(nowMillis);
    }

    void storeReplied(long callId, StoreReply reply, long nowMillis, StepList out) {
        Option<ViewStore.Call> call = store.replied(callId, reply);
        if (call.isEmpty()) {
            return;
        }
        if (store.isDown()) {
            nextTryMillis = nowMillis + limits.storeRetryMillis();
        }
        switch (call.get().purpose()) {
            case READ -> wasRead(reply, nowMillis, out);
            case CHANGE -> changeReplied(call.get().view().get(), reply, nowMillis, out);
            case RECORD -> followRecord(nowMillis);
            default -> throw new IllegalStateException("no such purpose");
        }
    }

    /**
     * Lets time pass.
     *
     * @param resultsKnown whether every member knows how the calls that this host ran have ended
     */
    void tick(boolean resultsKnown, long nowMillis, StepList out) {
        resendInstalls(out);
        switch (phase) {
            case OUTSIDE -> seek(nowMillis, out);
            case STALE -> confirm(out);
            case STOPPED -> proceed(nowMillis, out);
            case ACTIVE -> keep(resultsKnown, nowMillis, out);
            default -> throw new IllegalStateException("no such phase");
        }
        syncs.send(nowMillis, out);
    }

    // Outside: find a view to join, or form one.

    private void seek(long nowMillis, StepList out) {
        if (leaving) {
            change = change.filter(pending -> !pending.isSafeToWithdraw());
        }
        if (change.isDefined()) {
            askStore(nowMillis, out);
            return;
        }
        if (leaving || nowMillis < nextTryMillis) {
            return;
        }
        nextTryMillis = nowMillis + limits.storeRetryMillis();
        if (mayTakeOver(nowMillis)) {
            changeByStore(view.get().takenOver(newId(), me, nowMillis), nowMillis, out);
            return;
        }
        List<ViewMemberId> members = reachableMembers();
        if (!members.isEmpty()) {
            copying.ask(members, out);
        }
        if (members.isEmpty()) {
            links.hosts().forEach(host -> out.send(host, new ViewAsk(0, "")));
        }
        if (members.isEmpty() || copying.isQuiet()) {
            store.read(out);
        }
    }

    private List<ViewMemberId> reachableMembers() {
        return view.map(known -> known.members().stream().filter(links::isUp).toList())
                .getOrElse(List.of());
    }

    private boolean mayTakeOver(long nowMillis) {
        if (view.isEmpty() || !store.isKnown()) {
            return false;
        }
        List<ViewMemberId> members = view.toJavaStream()
                .flatMap(known -> store.recorded()
                        .toJavaStream()
                        .flatMap(recorded -> Stream.concat(known.members().stream(), recorded.members().stream())))
                .distinct()
                .toList();
        boolean allEnded = members.stream().allMatch(this::hasEnded);
        boolean allSilent = members.stream().allMatch(member -> isSilent(member, nowMillis));
        return store.recorded().isDefined() && rule.mayTakeOver(allEnded, allSilent);
    }

    private boolean isSilent(ViewMemberId member, long nowMillis) {
        return member.equals(me) || links.isLost(member, limits.lostGraceMillis(), nowMillis);
    }

    private boolean hasEnded(ViewMemberId member) {
        // This process itself acts in no view while it is outside, so neither does an older one of its host.
        boolean self = member.host().equals(me.host()) && member.incarnation() <= me.incarnation();
        return self || evidence.hasEnded(member);
    }

    private void wasRead(StoreReply reply, long nowMillis, StepList out) {
        if (!(reply instanceof StoreReply.Found)) {
            return;
        }
        followRecord(nowMillis);
        if (phase == ViewPhase.STALE) {
            enter(ViewPhase.ACTIVE);
        }
        if (phase == ViewPhase.OUTSIDE && change.isEmpty() && !leaving) {
            boolean first = store.recorded().isEmpty() && view.isEmpty();
            if (first) {
                changeByStore(new ClaimView(dataCentre, 1, 0, newId(), List.of(me)), nowMillis, out);
            } else if (mayTakeOver(nowMillis)) {
                changeByStore(view.get().takenOver(newId(), me, nowMillis), nowMillis, out);
            }
        }
    }

    // Inside: keep the view fit.

    private void keep(boolean resultsKnown, long nowMillis, StepList out) {
        List<ViewMemberId> lost = lostMembers(nowMillis);
        if (nowMillis < nextTryMillis) {
            return;
        }
        if (!lost.isEmpty()) {
            if (isDueToRemove(lost, nowMillis)) {
                remove(lost, nowMillis, out);
            }
            return;
        }
        if (leaving && resultsKnown) {
            leavers.add(me.host());
        }
        if (!view.get().members().get(0).equals(me)) {
            askToLeave(nowMillis, out);
            return;
        }
        record(out);
        adjust(nowMillis, out);
    }

    private List<ViewMemberId> lostMembers(long nowMillis) {
        return view.get().others(me).stream()
                .filter(member -> links.isLost(member, limits.lostGraceMillis(), nowMillis))
                .toList();
    }

    private boolean isDueToRemove(List<ViewMemberId> lost, long nowMillis) {
        List<ViewMemberId> rest = view.get().members().stream()
                .filter(member -> !lost.contains(member))
                .toList();
        long wait = limits.lostGraceMillis() + rest.indexOf(me) * limits.resendMillis();
        return lost.stream().allMatch(member -> links.isLost(member, wait, nowMillis));
    }

    /** Takes lost members out: this host, a member of the old view, stops it first and lets the store decide. */
    private void remove(List<ViewMemberId> lost, long nowMillis, StepList out) {
        List<ViewMemberId> wanted = view.get().members().stream()
                .filter(member -> !lost.contains(member))
                // A host that is leaving still has to take out the lost ones, or it could neither claim nor leave.
                .filter(member -> member.equals(me) || !leavers.contains(member.host()))
                .filter(member -> consented.forAll(next -> next.contains(member)))
                .toList();
        if (wanted.contains(me)) {
            ClaimView next = consented.getOrElse(view.get()).next(newId(), wanted);
            changeByStore(withCompleteFrom(next), nowMillis, out);
        }
    }

    private ClaimView withCompleteFrom(ClaimView next) {
        return new ClaimView(
                dataCentre, next.number(), view.get().completeFromMillis(), next.changeId(), next.members());
    }

    private void askToLeave(long nowMillis, StepList out) {
        if (leavers.contains(me.host())) {
            nextTryMillis = nowMillis + limits.storeRetryMillis();
            out.send(
                    view.get().members().get(0).host(), new ViewLeave(view.get().number()));
        }
    }

    /** Writes down a view that its members have formed without the store. */
    private void record(StepList out) {
        if (store.recorded().equals(view) || store.isCalling(ViewStore.Purpose.RECORD)) {
            return;
        }
        if (store.isKnown()) {
            store.write(ViewStore.Purpose.RECORD, view.get(), out);
        } else {
            store.read(out);
        }
    }

    private void adjust(long nowMillis, StepList out) {
        List<ViewMemberId> joiners = syncs.cleanJoiners();
        List<ViewMemberId> staying = view.get().members().stream()
                .filter(member -> !leavers.contains(member.host()))
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

    private void changeByConsent(ClaimView next, long nowMillis, StepList out) {
        io.vavr.collection.List<String> awaited = io.vavr.collection.List.ofAll(
                        view.get().members())
                .appendAll(next.members())
                .distinct()
                .remove(me)
                .map(ViewMemberId::host)
                .distinct();
        enter(ViewPhase.STOPPED);
        change = Option.some(ViewChange.byConsent(next, awaited, nowMillis));
        propose(out);
    }

    private void changeByStore(ClaimView next, long nowMillis, StepList out) {
        if (phase.isMember()) {
            enter(ViewPhase.STOPPED);
        }
        change = Option.some(ViewChange.byStore(next, nowMillis));
        askStore(nowMillis, out);
    }

    // Stopped: see the change through.

    private void proceed(long nowMillis, StepList out) {
        if (change.isEmpty()) {
            awaitConsented(nowMillis, out);
            return;
        }
        if (change.get().byStore()) {
            askStore(nowMillis, out);
            return;
        }
        if (nowMillis - change.get().startedMillis() >= limits.openTimeoutMillis()) {
            change.get().awaited().forEach(this::blame);
            withdraw(nowMillis, out);
        } else if (nowMillis - change.get().sentMillis() >= limits.resendMillis()) {
            change = change.map(pending -> pending.sent(nowMillis));
            propose(out);
        }
    }

    private void blame(String host) {
        if (view.get().memberAt(host).isDefined()) {
            links.silent(host);
        } else {
            syncs.end(host);
        }
    }

    private void awaitConsented(long nowMillis, StepList out) {
        List<ViewMemberId> lost = lostMembers(nowMillis);
        boolean proposerLost = lost.stream().anyMatch(member -> member.host().equals(consentedTo));
        if (proposerLost && isDueToRemove(lost, nowMillis)) {
            remove(lost, nowMillis, out);
        } else {
            out.send(
                    consentedTo,
                    new ViewAsk(
                            view.get().number(),
                            consented.map(ClaimView::changeId).getOrElse("")));
        }
    }

    private void propose(StepList out) {
        ViewChange pending = change.get();
        for (String host : pending.awaited()) {
            Option<SyncSession> sync = syncs.find(host);
            boolean member = view.get().memberAt(host).isDefined();
            // A joining host must hold every claim of the old view before it agrees to be in the next one.
            if (member || sync.exists(SyncSession::isClean)) {
                out.send(
                        host,
                        new ViewPropose(
                                view.get().number(),
                                sync.map(SyncSession::id).getOrElse(""),
                                ViewRecords.toRecord(pending.proposed())));
            }
        }
    }

    private void withdraw(long nowMillis, StepList out) {
        ViewChange pending = change.get();
        change = Option.none();
        nextTryMillis = nowMillis + limits.storeRetryMillis();
        if (consented.isEmpty()) {
            enter(ViewPhase.ACTIVE);
        }
        ViewWithdraw message = new ViewWithdraw(pending.proposed().changeId());
        view.get().others(me).forEach(member -> out.send(member.host(), message));
        pending.proposed().others(me).stream()
                .filter(member -> !view.get().contains(member))
                .forEach(member -> out.send(member.host(), message));
    }

    private void askStore(long nowMillis, StepList out) {
        ViewChange pending = change.get();
        if (pending.calling() || (pending.sentMillis() > 0 && nowMillis < nextTryMillis)) {
            return;
        }
        if (!store.isKnown()) {
            store.read(out);
            return;
        }
        change = Option.some(pending.called(nowMillis));
        store.write(ViewStore.Purpose.CHANGE, pending.proposed(), out);
    }

    private void changeReplied(ClaimView proposed, StoreReply reply, long nowMillis, StepList out) {
        boolean current = change.exists(pending -> pending.proposed().equals(proposed));
        if (!current) {
            followRecord(nowMillis);
            return;
        }
        change = change.map(pending -> pending.replied(reply instanceof StoreReply.Unsure));
        if (reply instanceof StoreReply.Written) {
            form(proposed, nowMillis, out);
        } else if (reply instanceof StoreReply.Conflicted) {
            changeConflicted(proposed, nowMillis, out);
        } else if (reply instanceof StoreReply.Unavailable && change.get().isSafeToWithdraw()) {
            giveUpChange(nowMillis, out);
        }
        // An unsure write is asked for again, word for word, when it is due: the record shows whether it was applied,
        // and a record that is still the old one would not show that it never will be.
    }

    private void changeConflicted(ClaimView proposed, long nowMillis, StepList out) {
        if (store.recorded().exists(recorded -> recorded.changeId().equals(proposed.changeId()))) {
            form(proposed, nowMillis, out);
            return;
        }
        followRecord(nowMillis);
        if (change.isEmpty()) {
            return;
        }
        boolean superseded =
                !phase.isMember() || store.recorded().exists(recorded -> recorded.number() >= proposed.number());
        if (superseded) {
            giveUpChange(nowMillis, out);
        } else {
            askStore(nowMillis, out);
        }
    }

    private void giveUpChange(long nowMillis, StepList out) {
        if (phase.isMember()) {
            withdraw(nowMillis, out);
        } else {
            change = Option.none();
        }
    }

    /** Takes a view that this host has just formed. */
    private void form(ClaimView formed, long nowMillis, StepList out) {
        Set<String> others = new TreeSet<>();
        view.forEach(old -> old.others(me).forEach(member -> others.add(member.host())));
        formed.others(me).forEach(member -> others.add(member.host()));
        install(formed, nowMillis);
        uninstalled.clear();
        uninstalled.addAll(others);
        resendInstalls(out);
    }

    private void install(ClaimView next, long nowMillis) {
        view = Option.some(next);
        change = Option.none();
        consented = Option.none();
        // A host that only learns of a view may still be ready for the one after it.
        if (next.contains(me)) {
            copying.unready();
        }
        unconfirmed.clear();
        syncs.endMembers(next);
        leavers.removeIf(host -> next.memberAt(host).isEmpty());
        evidence.viewLearned(nowMillis);
        links.viewChanged();
        enter(next.contains(me) ? ViewPhase.ACTIVE : ViewPhase.OUTSIDE);
    }

    private void enter(ViewPhase next) {
        phase = next;
        epoch++;
        if (!next.isMember()) {
            syncs.endAll();
            leavers.clear();
        }
    }

    // Learn of views that others formed.

    private void followRecord(long nowMillis) {
        store.recorded().forEach(recorded -> follow(recorded, nowMillis));
    }

    private void follow(ClaimView next, long nowMillis) {
        if (view.exists(current -> next.number() <= current.number())) {
            return;
        }
        boolean continuing = phase.isMember() && view.exists(current -> current.contains(me));
        boolean prepared = copying.isReadyFor(next.changeId());
        boolean own = change.exists(pending -> pending.proposed().equals(next));
        if (!next.contains(me) || continuing || prepared || own) {
            install(next, nowMillis);
            return;
        }
        // The view names this host, but it does not hold the claims: it must be taken out and copy them first.
        view = Option.some(next);
        evidence.viewLearned(nowMillis);
    }

    void receiveInstall(String host, ViewInstall message, long nowMillis, StepList out) {
        ViewRecords.fromRecord(message.recorded())
                .forEach(recorded -> store.learn(Option.some(recorded), message.recordRevision()));
        followRecord(nowMillis);
        Option<ClaimView> told = ViewRecords.fromRecord(message.view());
        // While the store may still form the change of this host, only the store can tell what came of it: acting in
        // another view meanwhile would grant claims that the members of that change do not hold.
        boolean mine = change.exists(ViewChange::byStore);
        if (!mine) {
            told.forEach(next -> follow(next, nowMillis));
        }
        confirmed(host, told);
        boolean taken = phase.isMember() || view.exists(current -> !current.contains(me));
        if (taken && view.equals(told)) {
            out.send(host, new ViewInstalled(view.get().number()));
        }
    }

    private void confirmed(String host, Option<ClaimView> told) {
        if (phase != ViewPhase.STALE || !view.equals(told) || !unconfirmed.remove(host)) {
            return;
        }
        if (unconfirmed.isEmpty()) {
            enter(ViewPhase.ACTIVE);
        }
    }

    private void confirm(StepList out) {
        store.read(out);
        ViewAsk ask = new ViewAsk(view.get().number(), "");
        unconfirmed.forEach(host -> out.send(host, ask));
    }

    void receiveInstalled(String host, long number) {
        if (view.exists(current -> current.number() <= number)) {
            uninstalled.remove(host);
        }
    }

    private void resendInstalls(StepList out) {
        uninstalled.removeIf(host -> links.incarnation(host).isEmpty());
        uninstalled.forEach(host -> tellView(host, out));
    }

    void tellView(String host, StepList out) {
        view.forEach(current -> out.send(
                host,
                new ViewInstall(
                        ViewRecords.toRecord(current),
                        Math.max(store.revision(), 0),
                        store.recorded().map(ViewRecords::toRecord).getOrNull())));
    }

    void receiveAsk(String host, ViewAsk message, StepList out) {
        boolean mine = message.changeId().startsWith(idPrefix());
        boolean formed = view.exists(current -> current.changeId().equals(message.changeId()));
        boolean pending =
                change.exists(proposal -> proposal.proposed().changeId().equals(message.changeId()));
        if (mine && !formed && !pending && view.exists(current -> current.number() <= message.viewNumber())) {
            out.send(host, new ViewWithdraw(message.changeId()));
            return;
        }
        tellView(host, out);
    }

    // Consent to what others propose.

    void receivePropose(String host, long incarnation, ViewPropose message, StepList out) {
        Option<ClaimView> told = ViewRecords.fromRecord(message.view());
        if (told.isEmpty()) {
            return;
        }
        ClaimView proposed = told.get();
        if (phase == ViewPhase.OUTSIDE) {
            boolean ready = proposed.contains(me) && copying.agree(message.sessionId(), proposed.changeId());
            out.send(host, new ViewConsent(proposed.changeId(), ready));
            return;
        }
        boolean sameView =
                view.get().number() == message.fromNumber() && view.get().contains(new ViewMemberId(host, incarnation));
        boolean again = consented.exists(agreed -> agreed.changeId().equals(proposed.changeId()));
        boolean agrees = sameView && change.isEmpty() && (again || phase == ViewPhase.ACTIVE);
        if (agrees && !again) {
            consented = told;
            consentedTo = host;
            enter(ViewPhase.STOPPED);
        }
        if (sameView && phase != ViewPhase.STALE) {
            out.send(host, new ViewConsent(proposed.changeId(), agrees));
        }
    }

    void receiveConsent(String host, ViewConsent message, long nowMillis, StepList out) {
        boolean current = change.exists(
                pending -> !pending.byStore() && pending.proposed().changeId().equals(message.changeId()));
        if (!current) {
            if (message.agreed()) {
                receiveAsk(host, new ViewAsk(Long.MAX_VALUE, message.changeId()), out);
            }
            return;
        }
        if (!message.agreed()) {
            blameJoiner(host);
            withdraw(nowMillis, out);
            return;
        }
        change = change.map(pending -> pending.agreed(host));
        if (change.get().awaited().isEmpty()) {
            form(change.get().proposed(), nowMillis, out);
        }
    }

    private void blameJoiner(String host) {
        if (view.get().memberAt(host).isEmpty()) {
            syncs.end(host);
        }
    }

    void receiveWithdraw(String changeId) {
        if (copying.isReadyFor(changeId)) {
            copying.unready();
        }
        boolean agreed = consented.exists(next -> next.changeId().equals(changeId));
        if (agreed && change.isEmpty()) {
            consented = Option.none();
            enter(ViewPhase.ACTIVE);
        }
    }

    void receiveLeave(String host, long incarnation) {
        if (phase.isMember() && view.get().contains(new ViewMemberId(host, incarnation))) {
            leavers.add(host);
        }
    }

    // Copy the claims to hosts that join.

    void receiveJoin(String host, long incarnation, ViewJoin message, StepList out) {
        ViewMemberId joiner = new ViewMemberId(host, incarnation);
        if (phase == ViewPhase.OUTSIDE) {
            tellView(host, out);
            return;
        }
        if (view.get().memberAt(host).isDefined()) {
            // It is named by the view and yet is outside: it has lost what it held, or is a later process.
            tellView(host, out);
            links.silent(host);
            return;
        }
        ViewMemberId first = view.get().members().get(0);
        if (!first.equals(me) && links.isUp(first)) {
            tellView(host, out);
            return;
        }
        syncs.begin(newId(), joiner, message.sessionId());
    }

    void receiveSynced(String host, ViewSynced message, long nowMillis, StepList out) {
        syncs.acknowledged(host, message);
        syncs.send(nowMillis, out);
    }

    void receiveSync(String host, ViewSync message, StepList out) {
        if (!phase.isMember() && !leaving) {
            copying.receive(host, message, out);
        }
    }

    private String idPrefix() {
        return me.host() + "/" + me.incarnation() + "/";
    }

    private String newId() {
        return idPrefix() + nextId++;
    }

    /** All that decides what this host does next, but for the time; equal texts mean equal futures. */
    String describe() {
        return String.join(
                "; ",
                phase + " " + view + " " + change.map(ViewKeeper::withoutTimes) + " " + consented + consentedTo,
                copying.describe() + " " + uninstalled + unconfirmed + leavers + leaving,
                links.describe(),
                evidence.describe(),
                store.describe(),
                syncs.describe());
    }

    private static ViewChange withoutTimes(ViewChange pending) {
        return new ViewChange(
                pending.proposed(), pending.byStore(), pending.awaited(), pending.unsure(), pending.calling(), 0, 0);
    }
}
