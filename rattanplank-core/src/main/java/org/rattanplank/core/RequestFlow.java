package org.rattanplank.core;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;

import io.vavr.control.Option;
import org.rattanplank.core.claim.ClaimAction;
import org.rattanplank.core.claim.ClaimDecision;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.claim.ClaimResult;
import org.rattanplank.core.claim.Claims;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.intent.ConfigurationManager;
import org.rattanplank.core.member.Membership;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.route.Eligibility;
import org.rattanplank.core.route.Route;
import org.rattanplank.core.route.Router;
import org.rattanplank.core.route.RoutingDecision;

/**
 * Drives each request from its claim and route through its attempts to its outcome.
 *
 * <p>Invariants: a request gets exactly one outcome, unless its requester has left; the outcome is {@code not run} only
 * if every attempt definitely did not run; a forwarded request is never forwarded again. Thread safe. Lock order: one
 * request's lock first, then the lock of one component (members, configurations, claims, router, explanations); a
 * thread never holds the locks of two requests.
 */
final class RequestFlow {
    /** How long a claimed call may run beyond its caller's deadline, so that its answer can still be stored. */
    static final long CLAIM_GRACE_MILLIS = 30_000;

    private static final String TIMED_OUT = "no answer came in time";
    private static final String STOPPED = "the entry host stopped before the answer was complete";
    private static final int LOCKS = 64;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final NodeIdentity self;
    private final Membership membership;
    private final ConfigurationManager configurationManager;
    private final Claims claims;
    private final Router router;
    private final Explanations explanations;
    private final QuarantineExchange quarantine;
    private final Map<String, InFlightRequest> requestsInFlight = new ConcurrentHashMap<>();
    private final Lock[] locks = new Lock[LOCKS];
    private volatile boolean draining;

    RequestFlow(
            NodeIdentity self,
            Membership membership,
            ConfigurationManager configurationManager,
            Claims claims,
            Router router,
            Explanations explanations,
            QuarantineExchange quarantine) {
        this.self = self;
        this.membership = membership;
        this.configurationManager = configurationManager;
        this.claims = claims;
        this.router = router;
        this.explanations = explanations;
        this.quarantine = quarantine;
        for (int i = 0; i < LOCKS; i++) {
            locks[i] = new ReentrantLock();
        }
    }

    int inFlight() {
        return requestsInFlight.size();
    }

    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    void receive(Request request, long nowMillis, Effects effects) {
        Lock lock = lockOf(request.id());
        lock.lock();
        try {
            accept(request, nowMillis, effects);
        } finally {
            lock.unlock();
        }
    }

    void claimDecided(ClaimAction.Decide decide, long nowMillis, Effects effects) {
        Lock lock = lockOf(decide.requestId());
        lock.lock();
        try {
            InFlightRequest request = requestsInFlight.get(decide.requestId());
            if (request == null || request.route.isDefined() || request.finished) {
                releaseClaim(decide, nowMillis, effects);
                return;
            }
            applyDecision(decide.decision(), request, nowMillis, effects);
        } finally {
            lock.unlock();
        }
    }

    void streamProgressed(Event.StreamProgressed event) {
        Lock lock = lockOf(event.requestId());
        lock.lock();
        try {
            InFlightRequest request = requestsInFlight.get(event.requestId());
            if (request != null && request.attempt == event.attempt()) {
                request.deliveredStreamEvents = Math.max(request.deliveredStreamEvents, event.streamEvents());
            }
        } finally {
            lock.unlock();
        }
    }

    void attemptEnded(Event.AttemptEnded event, long nowMillis, Effects effects) {
        Lock lock = lockOf(event.requestId());
        lock.lock();
        try {
            InFlightRequest request = requestsInFlight.get(event.requestId());
            // The result may belong to an abandoned attempt. Without this check a caller could get its answer after, or
            // mixed with, that of the retry; symptom: two outcomes for one request.
            if (request == null || request.attempt != event.attempt() || request.route.isEmpty()) {
                return;
            }
            Route route = request.route.get();
            long durationMillis = nowMillis - request.attemptStartedMillis;
            router.recordEnd(request.request, route, event.result(), durationMillis, nowMillis);
            if (event.result() instanceof AttemptResult.Completed completed) {
                answered(request, completed, nowMillis, effects);
            } else if (event.result() instanceof AttemptResult.NotRun notRun) {
                attemptNotRun(request, notRun, nowMillis, effects);
            } else if (event.result() instanceof AttemptResult.Lost lost) {
                attemptLost(request, lost, nowMillis, effects);
            }
        } finally {
            lock.unlock();
        }
    }

    void requesterLeft(String requestId, long nowMillis, Effects effects) {
        Lock lock = lockOf(requestId);
        lock.lock();
        try {
            InFlightRequest request = requestsInFlight.get(requestId);
            if (request == null || request.finished) {
                return;
            }
            if (request.runsClaim()) {
                // A claimed call continues without its caller: if it were cancelled, its result could only be unknown.
                request.finished = true;
                return;
            }
            if (request.route.isDefined()) {
                effects.add(new Action.CancelAttempt(requestId, request.attempt));
            }
            removeRequest(request, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /** Ends all requests in flight for their requesters, as this process ends before their answers can be complete. */
    void interruptAll(long nowMillis, Effects effects) {
        draining = true;
        for (String requestId : requestsInFlight.keySet()) {
            Lock lock = lockOf(requestId);
            lock.lock();
            try {
                Option.of(requestsInFlight.get(requestId))
                        .filter(request -> !request.finished)
                        .forEach(request -> endForRequester(request, STOPPED, nowMillis, effects));
            } finally {
                lock.unlock();
            }
        }
    }

    void tick(long nowMillis, Effects effects) {
        for (String requestId : requestsInFlight.keySet()) {
            Lock lock = lockOf(requestId);
            lock.lock();
            try {
                Option.of(requestsInFlight.get(requestId)).forEach(request -> expireIfDue(request, nowMillis, effects));
            } finally {
                lock.unlock();
            }
        }
    }

    private void accept(Request request, long nowMillis, Effects effects) {
        if (requestsInFlight.containsKey(request.id())) {
            // A duplicate message: a second outcome under the same identifier would answer the first requester.
            return;
        }
        Configuration configuration = configurationManager.current();
        Option<Failure> rejection = draining
                ? Option.some(Failure.of(Step.ADMIT, self.host(), "this host is leaving"))
                : AcceptRules.validate(request, configuration, self.host());
        if (rejection.isDefined()) {
            reject(request, rejection.get(), effects);
            return;
        }
        Option<RoutingDecision.Reject> rejected = router.admit(request, nowMillis);
        if (rejected.isDefined()) {
            RoutingDecision.Reject reject = rejected.get();
            effects.add(
                    new Action.Finish(request.id(), new Outcome.NotRun(reject.failure(), reject.retryAfterMillis())));
            return;
        }
        InFlightRequest accepted = new InFlightRequest(request, AcceptRules.allowedRegions(request, configuration));
        requestsInFlight.put(request.id(), accepted);
        if (request.repeatable() || request.claimed()) {
            chooseRoute(accepted, nowMillis, effects);
            return;
        }
        claim(accepted, configuration, nowMillis, effects);
    }

    private void claim(InFlightRequest request, Configuration configuration, long nowMillis, Effects effects) {
        String home = configuration
                .account(request.request.account())
                .map(Account::homeDataCentre)
                .getOrElse(self.location().dataCentre());
        if (home.equals(self.location().dataCentre())) {
            ClaimKey key = ClaimKey.of(
                    request.request.account(), request.request.idempotencyKey().getOrElse(""));
            request.claim = Option.some(key);
            effects.addClaimActions(claims.open(key, request.request.id(), nowMillis));
            return;
        }
        forwardToHome(request, home, nowMillis, effects);
    }

    /** Forwards the request to a reachable host of the data centre that manages its key and that has not been tried. */
    private void forwardToHome(InFlightRequest request, String home, long nowMillis, Effects effects) {
        Option<String> host = Option.ofOptional(membership.reachableHosts(home).stream()
                .filter(name -> !request.triedPeers.contains(name))
                .findFirst());
        if (request.request.isForwarded() || host.isEmpty()) {
            Failure failure = Failure.of(Step.CLAIM, home, "the data centre that holds the key cannot be reached");
            endWithoutAnswer(request, failure, RETRY_AFTER_MILLIS, nowMillis, effects);
            return;
        }
        String region = membership.regionOf(host.get()).getOrElse("");
        if (!request.allowedRegions.contains(region)) {
            Failure failure =
                    Failure.of(Step.CLAIM, home, "the residency does not allow the data centre that manages the key");
            endWithoutAnswer(request, failure, 0, nowMillis, effects);
            return;
        }
        startAttempt(request, new Route.ToHost(host.get(), region), 0, nowMillis, effects);
    }

    private void releaseClaim(ClaimAction.Decide decide, long nowMillis, Effects effects) {
        if (decide.decision() instanceof ClaimDecision.Run) {
            effects.addClaimActions(
                    claims.settle(decide.key(), decide.requestId(), new ClaimResult.NotRun(), nowMillis));
        }
    }

    private void applyDecision(ClaimDecision decision, InFlightRequest request, long nowMillis, Effects effects) {
        if (decision instanceof ClaimDecision.Run) {
            chooseRoute(request, nowMillis, effects);
        } else if (decision instanceof ClaimDecision.Replay replay) {
            finish(request, new Outcome.Answered(replay.answer(), List.of(self.host())), nowMillis, effects);
        } else if (decision instanceof ClaimDecision.Unknown unknown) {
            finish(request, new Outcome.Unknown(unknown.failure()), nowMillis, effects);
        } else if (decision instanceof ClaimDecision.NotRun notRun) {
            finish(request, new Outcome.NotRun(notRun.failure(), notRun.retryAfterMillis()), nowMillis, effects);
        }
    }

    private void chooseRoute(InFlightRequest request, long nowMillis, Effects effects) {
        Option<Failure> quarantined = quarantine.check(request.request, nowMillis);
        if (quarantined.isDefined()) {
            explanations.recordDecision(request.request, new RoutingDecision.Reject(quarantined.get(), 0, List.of()));
            endWithoutAnswer(request, quarantined.get(), 0, nowMillis, effects);
            return;
        }
        boolean mayLeaveRegion = !request.request.isForwarded();
        Eligibility eligibility = new Eligibility(request.allowedRegions, mayLeaveRegion, request.triedPeers);
        RoutingDecision routingDecision = router.choose(request.request, eligibility, nowMillis);
        explanations.recordDecision(request.request, routingDecision);
        if (routingDecision instanceof RoutingDecision.Dispatch dispatch) {
            startAttempt(request, dispatch.route(), 0, nowMillis, effects);
        } else if (routingDecision instanceof RoutingDecision.Reject reject) {
            endWithoutAnswer(request, reject.failure(), reject.retryAfterMillis(), nowMillis, effects);
        }
    }

    /** Ends a request that got no answer and is not retried. */
    private void endWithoutAnswer(
            InFlightRequest request, Failure failure, long retryAfterMillis, long nowMillis, Effects effects) {
        // An earlier attempt whose answer was lost may have run. Judged by the latest attempt alone, the request would
        // be reported as "not run"; symptom: a caller retries a call that has already run.
        if (request.mayHaveRun) {
            settleClaim(request, new ClaimResult.Unknown(failure), nowMillis, effects);
            finish(request, new Outcome.Unknown(failure), nowMillis, effects);
            return;
        }
        settleClaim(request, new ClaimResult.NotRun(), nowMillis, effects);
        finish(request, new Outcome.NotRun(failure, retryAfterMillis), nowMillis, effects);
    }

    private void startAttempt(
            InFlightRequest request, Route route, long resumeAtStreamEvent, long nowMillis, Effects effects) {
        request.attempt++;
        request.route = Option.some(route);
        request.attemptStartedMillis = nowMillis;
        request.triedPeers.add(route.peer());
        Request outgoing = route instanceof Route.ToHost
                ? request.request.forwardedBy(self.host(), request.claim.isDefined())
                : request.request;
        long timeoutMillis = request.request.deadlineMillis() + (request.claim.isDefined() ? CLAIM_GRACE_MILLIS : 0);
        router.recordStart(request.request, route, nowMillis);
        effects.add(new Action.StartAttempt(
                request.request.id(), request.attempt, route, outgoing, resumeAtStreamEvent, timeoutMillis));
    }

    private void answered(InFlightRequest request, AttemptResult.Completed completed, long nowMillis, Effects effects) {
        // A failing target may answer a request that it has not run.
        if (completed.answer().isSuccess()) {
            quarantine.completed(request.request, nowMillis, effects);
        }
        settleClaim(request, new ClaimResult.Answered(completed.answer()), nowMillis, effects);
        List<String> path = io.vavr.collection.List.of(
                        self.host(), request.route.get().peer())
                .appendAll(completed.path())
                .distinct()
                .asJava();
        finish(request, new Outcome.Answered(completed.answer(), path), nowMillis, effects);
    }

    private void attemptNotRun(InFlightRequest request, AttemptResult.NotRun notRun, long nowMillis, Effects effects) {
        if (request.deliveredStreamEvents == 0 && mayRetry(request, nowMillis)) {
            retry(request, nowMillis, effects);
            return;
        }
        endWithoutAnswer(request, notRun.failure(), retryAfterMillis(request, notRun), nowMillis, effects);
    }

    /**
     * Returns after which time the caller may retry. An unresponsive or unreachable target may be available again soon;
     * zero would mean that a retry does not help. The value of another entry host is final.
     */
    private static long retryAfterMillis(InFlightRequest request, AttemptResult.NotRun notRun) {
        boolean isFinal = notRun.retryAfterMillis() > 0 || request.route.exists(Route.ToHost.class::isInstance);
        return isFinal ? notRun.retryAfterMillis() : RETRY_AFTER_MILLIS;
    }

    private void attemptLost(InFlightRequest request, AttemptResult.Lost lost, long nowMillis, Effects effects) {
        request.mayHaveRun = true;
        if (lost.targetCrashed()) {
            long inFlightMillis = Math.max(0, nowMillis - request.attemptStartedMillis);
            quarantine.targetCrashed(request.route.get().peer(), request.request, inFlightMillis, nowMillis, effects);
        }
        request.deliveredStreamEvents = Math.max(request.deliveredStreamEvents, lost.deliveredEvents());
        if (request.deliveredStreamEvents > 0) {
            resume(request, lost.failure(), nowMillis, effects);
            return;
        }
        if (request.request.repeatable() && mayRetry(request, nowMillis)) {
            retry(request, nowMillis, effects);
            return;
        }
        endWithoutAnswer(request, lost.failure(), 0, nowMillis, effects);
    }

    private void resume(InFlightRequest request, Failure failure, long nowMillis, Effects effects) {
        boolean isAtTarget = request.route.exists(route -> route instanceof Route.ToTarget);
        boolean maySendAgain = !request.resumed && !request.finished && quarantine.mayRetry(request.request);
        if (!maySendAgain || !isAtTarget || nowMillis >= request.request.deadlineMillis()) {
            endWithoutAnswer(request, failure, 0, nowMillis, effects);
            return;
        }
        request.resumed = true;
        startAttempt(request, request.route.get(), request.deliveredStreamEvents, nowMillis, effects);
    }

    private boolean mayRetry(InFlightRequest request, long nowMillis) {
        return !request.finished
                && nowMillis < request.request.deadlineMillis()
                && quarantine.mayRetry(request.request)
                && router.mayRetry(request.request, request.attempt, nowMillis);
    }

    private static boolean lacksHomeClaim(InFlightRequest request) {
        return !request.request.repeatable() && !request.request.claimed() && request.claim.isEmpty();
    }

    private void retry(InFlightRequest request, long nowMillis, Effects effects) {
        request.route = Option.none();
        if (lacksHomeClaim(request)) {
            claim(request, configurationManager.current(), nowMillis, effects);
            return;
        }
        chooseRoute(request, nowMillis, effects);
    }

    private void expireIfDue(InFlightRequest request, long nowMillis, Effects effects) {
        if (nowMillis < request.request.deadlineMillis()) {
            return;
        }
        if (!request.finished) {
            endForRequester(request, TIMED_OUT, nowMillis, effects);
            return;
        }
        if (nowMillis >= request.request.deadlineMillis() + CLAIM_GRACE_MILLIS) {
            Failure failure = Failure.of(Step.RECEIVE, request.route.get().peer(), TIMED_OUT);
            effects.add(new Action.CancelAttempt(request.request.id(), request.attempt));
            settleClaim(request, new ClaimResult.Unknown(failure), nowMillis, effects);
            removeRequest(request, nowMillis);
        }
    }

    private void endForRequester(InFlightRequest request, String reason, long nowMillis, Effects effects) {
        if (request.route.isEmpty()) {
            request.claim.forEach(key ->
                    applyDecision(claims.abandon(key, request.request.id(), nowMillis), request, nowMillis, effects));
            return;
        }
        Failure failure = Failure.of(Step.RECEIVE, request.route.get().peer(), reason);
        if (request.runsClaim()) {
            request.finished = true;
            emitOutcome(request, new Outcome.Unknown(failure), effects);
            return;
        }
        effects.add(new Action.CancelAttempt(request.request.id(), request.attempt));
        finish(request, new Outcome.Unknown(failure), nowMillis, effects);
    }

    private void settleClaim(InFlightRequest request, ClaimResult result, long nowMillis, Effects effects) {
        request.claim.forEach(
                key -> effects.addClaimActions(claims.settle(key, request.request.id(), result, nowMillis)));
    }

    private void finish(InFlightRequest request, Outcome outcome, long nowMillis, Effects effects) {
        if (!request.finished) {
            emitOutcome(request, outcome, effects);
        }
        removeRequest(request, nowMillis);
    }

    private void emitOutcome(InFlightRequest request, Outcome outcome, Effects effects) {
        explanations.recordOutcome(request.request, outcome);
        effects.add(new Action.Finish(request.request.id(), outcome));
    }

    private void removeRequest(InFlightRequest request, long nowMillis) {
        requestsInFlight.remove(request.request.id());
        router.recordFinish(request.request, nowMillis);
    }

    private void reject(Request request, Failure failure, Effects effects) {
        long retryAfterMillis = failure.step() == Step.ADMIT ? RETRY_AFTER_MILLIS : 0;
        effects.add(new Action.Finish(request.id(), new Outcome.NotRun(failure, retryAfterMillis)));
    }

    private Lock lockOf(String requestId) {
        return locks[Math.floorMod(requestId.hashCode(), LOCKS)];
    }
}
