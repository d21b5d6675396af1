package org.rattanplank.core;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;

import io.vavr.control.Option;
import org.rattanplank.core.claim.ClaimDecision;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.claim.ClaimResult;
import org.rattanplank.core.claim.ClaimStep;
import org.rattanplank.core.claim.Claims;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.intent.Configurations;
import org.rattanplank.core.member.Members;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.route.Eligibility;
import org.rattanplank.core.route.Route;
import org.rattanplank.core.route.Router;
import org.rattanplank.core.route.Routing;

/**
 * The life of each request: claim, route, attempts, outcome.
 *
 * <p>Invariants: a request gets exactly one outcome, unless whoever asked has left; it is {@code not run} only while
 * every attempt surely did not run; a forwarded request is never forwarded again. Thread safe. Lock order: one
 * request's lock first, then the lock of one part (members, configurations, claims, router, explanations); a thread
 * never holds two requests' locks.
 */
final class RequestFlow {
    /** How long a claimed call may go on after its caller's deadline, so that its answer can be kept. */
    static final long CLAIM_GRACE_MILLIS = 30_000;

    private static final int LOCKS = 64;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final NodeIdentity self;
    private final Members members;
    private final Configurations configurations;
    private final Claims claims;
    private final Router router;
    private final Explanations explanations;
    private final Map<String, LiveRequest> live = new ConcurrentHashMap<>();
    private final Lock[] locks = new Lock[LOCKS];
    private volatile boolean draining;

    RequestFlow(
            NodeIdentity self,
            Members members,
            Configurations configurations,
            Claims claims,
            Router router,
            Explanations explanations) {
        this.self = self;
        this.members = members;
        this.configurations = configurations;
        this.claims = claims;
        this.router = router;
        this.explanations = explanations;
        for (int i = 0; i < LOCKS; i++) {
            locks[i] = new ReentrantLock();
        }
    }

    int inFlight() {
        return live.size();
    }

    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    void asked(Request request, long nowMillis, Effects effects) {
        Lock lock = lockOf(request.id());
        lock.lock();
        try {
            accept(request, nowMillis, effects);
        } finally {
            lock.unlock();
        }
    }

    void decided(ClaimStep.Decide decide, long nowMillis, Effects effects) {
        Lock lock = lockOf(decide.requestId());
        lock.lock();
        try {
            LiveRequest request = live.get(decide.requestId());
            if (request == null || request.route.isDefined() || request.finished) {
                giveClaimBack(decide, nowMillis, effects);
                return;
            }
            apply(decide.decision(), request, nowMillis, effects);
        } finally {
            lock.unlock();
        }
    }

    void progressed(Event.StreamProgressed event) {
        Lock lock = lockOf(event.requestId());
        lock.lock();
        try {
            LiveRequest request = live.get(event.requestId());
            if (request != null && request.attempt == event.attempt()) {
                request.callerParts = Math.max(request.callerParts, event.parts());
            }
        } finally {
            lock.unlock();
        }
    }

    void attemptEnded(Event.AttemptEnded event, long nowMillis, Effects effects) {
        Lock lock = lockOf(event.requestId());
        lock.lock();
        try {
            LiveRequest request = live.get(event.requestId());
            // A late result of an attempt that was given up: without this check a caller could get the answer of an
            // abandoned attempt after, or mixed with, that of its retry. One would notice two outcomes for one request.
            if (request == null || request.attempt != event.attempt() || request.route.isEmpty()) {
                return;
            }
            Route route = request.route.get();
            long took = nowMillis - request.attemptStartedMillis;
            router.ended(request.request, route, event.result(), took, nowMillis);
            if (event.result() instanceof AttemptResult.Whole whole) {
                answered(request, whole, nowMillis, effects);
            } else if (event.result() instanceof AttemptResult.NotRun notRun) {
                didNotRun(request, notRun, nowMillis, effects);
            } else if (event.result() instanceof AttemptResult.Lost lost) {
                lost(request, lost, nowMillis, effects);
            }
        } finally {
            lock.unlock();
        }
    }

    void askerLeft(String requestId, long nowMillis, Effects effects) {
        Lock lock = lockOf(requestId);
        lock.lock();
        try {
            LiveRequest request = live.get(requestId);
            if (request == null || request.finished) {
                return;
            }
            if (request.runsClaim()) {
                // A claimed call goes on without its caller: cancelled half-way, its key could only be unknown.
                request.finished = true;
                return;
            }
            if (request.route.isDefined()) {
                effects.add(new Action.CancelAttempt(requestId, request.attempt));
            }
            remove(request, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    void tick(long nowMillis, Effects effects) {
        for (String requestId : live.keySet()) {
            Lock lock = lockOf(requestId);
            lock.lock();
            try {
                Option.of(live.get(requestId)).forEach(request -> expire(request, nowMillis, effects));
            } finally {
                lock.unlock();
            }
        }
    }

    private void accept(Request request, long nowMillis, Effects effects) {
        if (live.containsKey(request.id())) {
            // A message that came twice: a second outcome under the same identifier would answer the first asker.
            return;
        }
        Configuration configuration = configurations.current();
        Option<Failure> fault = draining
                ? Option.some(Failure.of(Step.ADMIT, self.host(), "this host is leaving"))
                : AcceptRules.faultOf(request, configuration, self.host());
        if (fault.isDefined()) {
            refuse(request, fault.get(), effects);
            return;
        }
        Option<Routing.Refuse> refusal = router.admit(request, nowMillis);
        if (refusal.isDefined()) {
            Routing.Refuse refuse = refusal.get();
            effects.add(
                    new Action.Finish(request.id(), new Outcome.NotRun(refuse.failure(), refuse.retryAfterMillis())));
            return;
        }
        LiveRequest started = new LiveRequest(request, AcceptRules.allowedRegions(request, configuration));
        live.put(request.id(), started);
        if (request.repeatable() || request.claimed()) {
            route(started, nowMillis, effects);
            return;
        }
        claim(started, configuration, nowMillis, effects);
    }

    private void claim(LiveRequest request, Configuration configuration, long nowMillis, Effects effects) {
        String home = configuration
                .account(request.request.account())
                .map(Account::homeDataCentre)
                .getOrElse(self.place().dataCentre());
        if (home.equals(self.place().dataCentre())) {
            ClaimKey key = ClaimKey.of(
                    request.request.account(), request.request.idempotencyKey().getOrElse(""));
            request.claim = Option.some(key);
            effects.addClaimSteps(claims.open(key, request.request.id(), nowMillis));
            return;
        }
        forwardToHome(request, home, nowMillis, effects);
    }

    /** Hands the request to a host of the data centre that holds its key, where it has not been yet. */
    private void forwardToHome(LiveRequest request, String home, long nowMillis, Effects effects) {
        Option<String> host = Option.ofOptional(members.reachable(home).stream()
                .filter(name -> !request.tried.contains(name))
                .findFirst());
        if (request.request.isForwarded() || host.isEmpty()) {
            Failure failure = Failure.of(Step.CLAIM, home, "the data centre that holds the key cannot be reached");
            giveUp(request, failure, RETRY_AFTER_MILLIS, nowMillis, effects);
            return;
        }
        String region = members.regionOf(host.get()).getOrElse("");
        if (!request.allowedRegions.contains(region)) {
            Failure failure = Failure.of(Step.CLAIM, home, "the residency does not allow the key's data centre");
            giveUp(request, failure, 0, nowMillis, effects);
            return;
        }
        start(request, new Route.ToHost(host.get(), region), 0, nowMillis, effects);
    }

    private void giveClaimBack(ClaimStep.Decide decide, long nowMillis, Effects effects) {
        if (decide.decision() instanceof ClaimDecision.Run) {
            effects.addClaimSteps(claims.settle(decide.key(), decide.requestId(), new ClaimResult.NotRun(), nowMillis));
        }
    }

    private void apply(ClaimDecision decision, LiveRequest request, long nowMillis, Effects effects) {
        if (decision instanceof ClaimDecision.Run) {
            route(request, nowMillis, effects);
        } else if (decision instanceof ClaimDecision.Kept kept) {
            finish(request, new Outcome.Answered(kept.answer(), List.of(self.host())), nowMillis, effects);
        } else if (decision instanceof ClaimDecision.Unknown unknown) {
            finish(request, new Outcome.Unknown(unknown.failure()), nowMillis, effects);
        } else if (decision instanceof ClaimDecision.NotRun notRun) {
            finish(request, new Outcome.NotRun(notRun.failure(), notRun.retryAfterMillis()), nowMillis, effects);
        }
    }

    private void route(LiveRequest request, long nowMillis, Effects effects) {
        boolean mayCross = !request.request.isForwarded();
        Eligibility eligibility = new Eligibility(request.allowedRegions, mayCross, request.tried);
        Routing routing = router.choose(request.request, eligibility, nowMillis);
        explanations.routed(request.request, routing);
        if (routing instanceof Routing.Go go) {
            start(request, go.route(), 0, nowMillis, effects);
        } else if (routing instanceof Routing.Refuse refuse) {
            giveUp(request, refuse.failure(), refuse.retryAfterMillis(), nowMillis, effects);
        }
    }

    /** Ends a request whose newest attempt, if it had one, surely did not run. */
    private void giveUp(LiveRequest request, Failure failure, long retryAfterMillis, long nowMillis, Effects effects) {
        // An earlier attempt whose answer was lost may have run. Judged by the newest attempt alone, such a request
        // would be "not run"; one would notice a caller who repeats what has already run.
        if (request.mayHaveRun) {
            settle(request, new ClaimResult.Unknown(failure), nowMillis, effects);
            finish(request, new Outcome.Unknown(failure), nowMillis, effects);
            return;
        }
        settle(request, new ClaimResult.NotRun(), nowMillis, effects);
        finish(request, new Outcome.NotRun(failure, retryAfterMillis), nowMillis, effects);
    }

    private void start(LiveRequest request, Route route, long resumeAtPart, long nowMillis, Effects effects) {
        request.attempt++;
        request.route = Option.some(route);
        request.attemptStartedMillis = nowMillis;
        request.tried.add(route.peer());
        Request asSeen = route instanceof Route.ToHost
                ? request.request.passedBy(self.host(), request.claim.isDefined())
                : request.request;
        long timeout = request.request.deadlineMillis() + (request.claim.isDefined() ? CLAIM_GRACE_MILLIS : 0);
        router.started(request.request, route, nowMillis);
        effects.add(
                new Action.StartAttempt(request.request.id(), request.attempt, route, asSeen, resumeAtPart, timeout));
    }

    private void answered(LiveRequest request, AttemptResult.Whole whole, long nowMillis, Effects effects) {
        settle(request, new ClaimResult.Answered(whole.answer()), nowMillis, effects);
        List<String> path = io.vavr.collection.List.of(
                        self.host(), request.route.get().peer())
                .appendAll(whole.path())
                .distinct()
                .asJava();
        finish(request, new Outcome.Answered(whole.answer(), path), nowMillis, effects);
    }

    private void didNotRun(LiveRequest request, AttemptResult.NotRun notRun, long nowMillis, Effects effects) {
        if (request.callerParts == 0 && mayTryAgain(request, nowMillis)) {
            tryAgain(request, nowMillis, effects);
            return;
        }
        giveUp(request, notRun.failure(), retryAfterMillis(request, notRun), nowMillis, effects);
    }

    /**
     * When the caller should come back. A target that says nothing, or cannot be connected to, may be there again soon;
     * zero would tell the caller that coming back does not help. Another entry host has decided that already.
     */
    private static long retryAfterMillis(LiveRequest request, AttemptResult.NotRun notRun) {
        boolean isDecided = notRun.retryAfterMillis() > 0 || request.route.exists(Route.ToHost.class::isInstance);
        return isDecided ? notRun.retryAfterMillis() : RETRY_AFTER_MILLIS;
    }

    private void lost(LiveRequest request, AttemptResult.Lost lost, long nowMillis, Effects effects) {
        request.mayHaveRun = true;
        request.callerParts = Math.max(request.callerParts, lost.callerParts());
        if (request.callerParts > 0) {
            resume(request, lost.failure(), nowMillis, effects);
            return;
        }
        if (request.request.repeatable() && mayTryAgain(request, nowMillis)) {
            tryAgain(request, nowMillis, effects);
            return;
        }
        giveUp(request, lost.failure(), 0, nowMillis, effects);
    }

    private void resume(LiveRequest request, Failure failure, long nowMillis, Effects effects) {
        boolean atEngine = request.route.exists(route -> route instanceof Route.ToTarget);
        if (request.resumed || request.finished || !atEngine || nowMillis >= request.request.deadlineMillis()) {
            giveUp(request, failure, 0, nowMillis, effects);
            return;
        }
        request.resumed = true;
        start(request, request.route.get(), request.callerParts, nowMillis, effects);
    }

    private boolean mayTryAgain(LiveRequest request, long nowMillis) {
        return !request.finished
                && nowMillis < request.request.deadlineMillis()
                && router.mayRetry(request.request, request.attempt, nowMillis);
    }

    private static boolean needsHomeClaim(LiveRequest request) {
        return !request.request.repeatable() && !request.request.claimed() && request.claim.isEmpty();
    }

    private void tryAgain(LiveRequest request, long nowMillis, Effects effects) {
        request.route = Option.none();
        if (needsHomeClaim(request)) {
            claim(request, configurations.current(), nowMillis, effects);
            return;
        }
        route(request, nowMillis, effects);
    }

    private void expire(LiveRequest request, long nowMillis, Effects effects) {
        if (nowMillis < request.request.deadlineMillis()) {
            return;
        }
        if (!request.finished) {
            expireCaller(request, nowMillis, effects);
            return;
        }
        if (nowMillis >= request.request.deadlineMillis() + CLAIM_GRACE_MILLIS) {
            Failure failure = Failure.of(Step.RECEIVE, request.route.get().peer(), "no answer came in time");
            effects.add(new Action.CancelAttempt(request.request.id(), request.attempt));
            settle(request, new ClaimResult.Unknown(failure), nowMillis, effects);
            remove(request, nowMillis);
        }
    }

    private void expireCaller(LiveRequest request, long nowMillis, Effects effects) {
        if (request.route.isEmpty()) {
            request.claim.forEach(
                    key -> apply(claims.abandon(key, request.request.id(), nowMillis), request, nowMillis, effects));
            return;
        }
        Failure failure = Failure.of(Step.RECEIVE, request.route.get().peer(), "no answer came in time");
        if (request.runsClaim()) {
            request.finished = true;
            report(request, new Outcome.Unknown(failure), effects);
            return;
        }
        effects.add(new Action.CancelAttempt(request.request.id(), request.attempt));
        finish(request, new Outcome.Unknown(failure), nowMillis, effects);
    }

    private void settle(LiveRequest request, ClaimResult result, long nowMillis, Effects effects) {
        request.claim.forEach(
                key -> effects.addClaimSteps(claims.settle(key, request.request.id(), result, nowMillis)));
    }

    private void finish(LiveRequest request, Outcome outcome, long nowMillis, Effects effects) {
        if (!request.finished) {
            report(request, outcome, effects);
        }
        remove(request, nowMillis);
    }

    private void report(LiveRequest request, Outcome outcome, Effects effects) {
        explanations.ended(request.request, outcome);
        effects.add(new Action.Finish(request.request.id(), outcome));
    }

    private void remove(LiveRequest request, long nowMillis) {
        live.remove(request.request.id());
        router.finished(request.request, nowMillis);
    }

    private void refuse(Request request, Failure failure, Effects effects) {
        long retryAfter = failure.step() == Step.ADMIT ? RETRY_AFTER_MILLIS : 0;
        effects.add(new Action.Finish(request.id(), new Outcome.NotRun(failure, retryAfter)));
    }

    private Lock lockOf(String requestId) {
        return locks[Math.floorMod(requestId.hashCode(), LOCKS)];
    }
}
