package org.rattanplank.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.limit.AdmissionControl;
import org.rattanplank.core.limit.Backlog;
import org.rattanplank.core.limit.Rejection;
import org.rattanplank.core.limit.RetryBudget;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;

/**
 * Admits requests and chooses the target, or the entry host of another region, for each attempt.
 *
 * <p>Invariant: a target that is leaving, that was already tried, or whose region the request's residency does not
 * allow is never chosen. Thread safe: one lock guards all state, and no other lock is acquired while it is held.
 */
public final class Router {
    /** Maximum number of concurrent attempts; further requests are rejected, so that memory stays bounded. */
    static final int MAX_ATTEMPTS = 65_536;

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long MAX_TARGET_PAUSE_MILLIS = 2_000;
    private static final long MAX_REGION_PAUSE_MILLIS = 100;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final ReentrantLock lock = new ReentrantLock();
    private final String region;
    private final Policy policy;
    private final TargetTable targetTable;
    private final RemoteRegionTable remoteRegions = new RemoteRegionTable();
    private final PrefixAffinity affinity = new PrefixAffinity();
    private final AdmissionControl admission;
    private final RetryBudget retryBudget = RetryBudget.full();
    private final Chooser chooser;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private Configuration configuration = Configuration.empty();

    private Router(Location location, Policy policy, RandomGenerator random) {
        this.region = location.region();
        this.policy = policy;
        this.targetTable = new TargetTable(policy);
        this.admission = AdmissionControl.of(random);
        this.chooser = policy.isBaseline()
                ? new BaselineChooser(region, policy, targetTable, remoteRegions, random)
                : new ScoredChooser(region, policy, targetTable, remoteRegions, affinity, admission, random);
    }

    /**
     * Creates a router without targets.
     *
     * @param location the region and data centre of this host
     * @param policy the routing policy
     * @param seed the seed of random choices
     * @return the router
     */
    public static Router of(Location location, Policy policy, long seed) {
        return new Router(location, policy, new SplittableRandom(seed));
    }

    /**
     * Replaces the targets of this region that accept requests; any other target gets no more.
     *
     * @param acceptingTargets the targets that are listed and not leaving
     * @param nowMillis the time
     */
    public void updateTargets(List<ListedHost> acceptingTargets, long nowMillis) {
        lock.lock();
        try {
            targetTable.updateListed(acceptingTargets, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Updates the state of the other regions.
     *
     * @param regions the other regions
     * @param nowMillis the time
     */
    public void updateRegions(List<RemoteRegion> regions, long nowMillis) {
        lock.lock();
        try {
            remoteRegions.update(regions, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Applies a new configuration.
     *
     * @param newest the configuration in force
     * @param nowMillis the time
     */
    public void applyConfiguration(Configuration newest, long nowMillis) {
        lock.lock();
        try {
            configuration = newest;
            targetTable.applyConfiguration(newest);
            remoteRegions.applyConfiguration(newest, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records a target's load report.
     *
     * @param load the report
     * @param nowMillis the time
     */
    public void recordLoadReport(TargetLoad load, long nowMillis) {
        lock.lock();
        try {
            targetTable.recordReport(load, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records that a target wants nothing from this host for some time.
     *
     * @param target the target
     * @param millis the time
     * @param nowMillis the time of its answer
     */
    public void recordPauseRequest(String target, long millis, long nowMillis) {
        lock.lock();
        try {
            targetTable.target(target).forEach(paused -> paused.ejection.pauseUntil(nowMillis + millis));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records that a target did not answer a load query.
     *
     * @param target the target
     * @param nowMillis the time
     */
    public void recordMissedReport(String target, long nowMillis) {
        lock.lock();
        try {
            targetTable.recordMissedReport(target, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Applies changes of the targets' prefix caches.
     *
     * @param events the changes
     * @param nowMillis the time
     */
    public void recordCacheEvents(List<CacheEvent> events, long nowMillis) {
        lock.lock();
        try {
            for (CacheEvent event : events) {
                targetTable.target(event.target()).forEach(target -> target.cache.applyEvent(event));
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Decides whether a request is admitted.
     *
     * @param request the request
     * @param nowMillis the time
     * @return a rejection, or none if the request is admitted
     */
    public Option<RoutingDecision.Reject> admit(Request request, long nowMillis) {
        lock.lock();
        try {
            if (attempts.size() >= MAX_ATTEMPTS) {
                return Option.some(reject(request, new Rejection("too many concurrent requests", RETRY_AFTER_MILLIS)));
            }
            Option<Rejection> rejection = policy.isBaseline() ? Option.none() : checkAdmission(request, nowMillis);
            if (rejection.isEmpty()) {
                retryBudget.recordRequest();
            }
            return rejection.map(cause -> reject(request, cause));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Chooses the destination of an attempt.
     *
     * @param request the request
     * @param eligibility the regions and peers that may serve the request
     * @param nowMillis the time
     * @return the decision
     */
    public RoutingDecision choose(Request request, Eligibility eligibility, long nowMillis) {
        lock.lock();
        try {
            return chooser.choose(request, eligibility, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Decides whether a request that definitely did not run, or that is safe to retry, may be retried.
     *
     * @param request the request
     * @param previousAttempts the number of attempts so far
     * @param nowMillis the time
     * @return whether the retry budget allows it
     */
    public boolean mayRetry(Request request, int previousAttempts, long nowMillis) {
        lock.lock();
        try {
            return policy.isBaseline() ? previousAttempts < 2 : retryBudget.tryAcquire(previousAttempts);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records that an attempt has started.
     *
     * @param request the request
     * @param route the destination
     * @param nowMillis the time
     */
    public void recordStart(Request request, Route route, long nowMillis) {
        lock.lock();
        try {
            removeAttempt(request, nowMillis);
            Attempt attempt = estimateAttempt(request, route, nowMillis);
            attempts.put(request.id(), attempt);
            if (route instanceof Route.ToHost toHost) {
                remoteRegions.region(toHost.region()).forEach(remote -> remote.load(request.service())
                        .recordStart(RemoteRegionState.OWN_SEND_WEIGHT, nowMillis));
            }
            attempt.target().forEach(target -> recordSend(request, target, nowMillis));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records that an attempt has ended.
     *
     * @param request the request
     * @param route the destination
     * @param result how it ended
     * @param durationMillis the duration of the attempt
     * @param nowMillis the time
     */
    public void recordEnd(Request request, Route route, AttemptResult result, long durationMillis, long nowMillis) {
        lock.lock();
        try {
            removeAttempt(request, nowMillis)
                    .forEach(attempt -> recordResult(request, attempt, result, durationMillis, nowMillis));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records that a request has its outcome.
     *
     * @param request the request
     * @param nowMillis the time
     */
    public void recordFinish(Request request, long nowMillis) {
        lock.lock();
        try {
            Option<Attempt> attempt = removeAttempt(request, nowMillis);
            // An unresponsive target never ends an attempt, so its failures do not show in the results, and it appears
            // idle once its requests are abandoned. An attempt that is still running at the deadline counts as failed.
            if (nowMillis >= request.deadlineMillis()) {
                attempt.forEach(running -> recordFailure(request, running, nowMillis));
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Summarizes the load of this region's services for other regions.
     *
     * @param nowMillis the time
     * @return the loads by service
     */
    public Map<String, RemoteRegion.ServiceLoad> summary(long nowMillis) {
        lock.lock();
        try {
            Map<String, RemoteRegion.ServiceLoad> summaries = new TreeMap<>();
            targetTable.services().forEach((name, service) -> summaries.put(name, service.summarize(nowMillis)));
            return summaries;
        } finally {
            lock.unlock();
        }
    }

    private Option<Rejection> checkAdmission(Request request, long nowMillis) {
        double weight =
                configuration.account(request.account()).map(Account::weight).getOrElse(1.0);
        return admission.admit(request, weight, backlog(request, nowMillis), nowMillis);
    }

    /**
     * Returns the work ahead of a request if the load were spread evenly over this region's targets, without a queue
     * wait if another region has capacity for it.
     */
    private Backlog backlog(Request request, long nowMillis) {
        Option<ServiceTargets> serviceTargets = targetTable.service(request.service());
        if (serviceTargets.isEmpty()) {
            return new Backlog(0, 1, 1);
        }
        ServiceTargets service = serviceTargets.get();
        service.refreshTotals(nowMillis);
        double rate = service.size() == 0 ? 0 : service.targets()[0].tokensPerSecond();
        double run = service.workEstimate.outputMillis(request, rate);
        double queueWait =
                service.hasCapacity() || otherRegionHasCapacity(request, nowMillis) ? 0 : service.queueWaitMillis();
        double ahead = queueWait * service.classMix.shareAheadOf(request.workClass());
        return new Backlog(ahead, run, service.workEstimate.meanRunMillis());
    }

    private boolean otherRegionHasCapacity(Request request, long nowMillis) {
        if (request.isForwarded()) {
            return false;
        }
        for (String name : configuration.allowedRegions(request.homeRegion(), request.residency())) {
            boolean hasCapacity = !name.equals(region)
                    && remoteRegions.region(name).exists(remote -> remote.summary(request.service())
                            .exists(summary -> remote.hasCapacity(
                                    request.service(),
                                    remote.slots(summary, remoteRegions.share(name, nowMillis), nowMillis))));
            if (hasCapacity) {
                return true;
            }
        }
        return false;
    }

    private static RoutingDecision.Reject reject(Request request, Rejection rejection) {
        Failure failure = Failure.of(Step.ADMIT, request.service(), rejection.reason());
        return new RoutingDecision.Reject(failure, rejection.retryAfterMillis(), List.of());
    }

    private Attempt estimateAttempt(Request request, Route route, long nowMillis) {
        Option<ServiceTargets> service = targetTable.service(request.service());
        Option<Target> target = route instanceof Route.ToTarget ? targetTable.target(route.peer()) : Option.none();
        if (service.isEmpty() || target.isEmpty()) {
            return new Attempt(route, target, 0, 0, 0);
        }
        WorkEstimate work = service.get().workEstimate;
        double rate = target.get().tokensPerSecond();
        double cached = target.get().cache.cachedTokens(request.prefixHashes(), request.promptTokens());
        double prefill = WorkEstimate.prefillMillis(request.promptTokens() - cached, rate);
        double queueWait = target.get().queueWaitMillis(work.meanRunMillis(), 1, nowMillis);
        double run = work.hasSamples() ? prefill + work.outputMillis(request, rate) : 0;
        return new Attempt(route, target, queueWait, prefill, run);
    }

    private void recordSend(Request request, Target target, long nowMillis) {
        target.load.recordStart(1, nowMillis);
        target.cache.recordPrompt(request.prefixHashes(), request.promptTokens());
        affinity.recordPrompt(request.prefixHashes(), target);
        targetTable.service(request.service()).forEach(service -> {
            service.adjustLoad(1);
            service.classMix.recordRequest(request.workClass());
        });
    }

    /** Removes the request's current attempt, if any, and its share of the load estimates. */
    private Option<Attempt> removeAttempt(Request request, long nowMillis) {
        Option<Attempt> running = Option.of(attempts.remove(request.id()));
        running.forEach(attempt -> {
            if (attempt.route() instanceof Route.ToHost toHost) {
                remoteRegions.region(toHost.region()).forEach(remote -> remote.load(request.service())
                        .recordEnd(nowMillis));
            }
            attempt.target().forEach(target -> {
                target.load.recordEnd(nowMillis);
                targetTable.service(request.service()).forEach(service -> service.adjustLoad(-1));
            });
        });
        return running;
    }

    private void recordResult(
            Request request, Attempt attempt, AttemptResult result, long durationMillis, long nowMillis) {
        if (result instanceof AttemptResult.Completed whole && whole.answer().status() < MIN_SERVER_ERROR_STATUS) {
            recordSuccess(request, attempt, durationMillis, nowMillis);
        } else if (result instanceof AttemptResult.NotRun notRun && isRejection(notRun)) {
            long untilMillis = nowMillis + Math.min(maxPauseMillis(attempt), notRun.retryAfterMillis());
            ejection(attempt).forEach(ejection -> ejection.pauseUntil(untilMillis));
        } else {
            recordFailure(request, attempt, nowMillis);
        }
    }

    /** Returns whether the peer is available and rejected only this request, which is no failure of the peer. */
    private static boolean isRejection(AttemptResult.NotRun notRun) {
        return switch (notRun.failure().step()) {
            case ACCEPT, ADMIT, CLAIM, ROUTE -> true;
            case FORWARD, CONNECT, SEND, RECEIVE -> notRun.retryAfterMillis() > 0;
        };
    }

    /**
     * Returns the longest pause after a rejection. A region may reject a request because of its account or deadline and
     * still have capacity for the next one; a target rejects all requests alike.
     */
    private static long maxPauseMillis(Attempt attempt) {
        return attempt.route() instanceof Route.ToHost ? MAX_REGION_PAUSE_MILLIS : MAX_TARGET_PAUSE_MILLIS;
    }

    private void recordSuccess(Request request, Attempt attempt, long durationMillis, long nowMillis) {
        Option<ServiceTargets> service = targetTable.service(request.service());
        if (attempt.target().isEmpty() || service.isEmpty()) {
            ejection(attempt).forEach(ejection -> ejection.recordSuccess(1));
            return;
        }
        Target target = attempt.target().get();
        WorkEstimate work = service.get().workEstimate;
        target.ejection.recordSuccess(attempt.expectedMillis()
                .map(expected -> work.relativeSlowness(durationMillis, expected))
                .getOrElse(1.0));
        work.recordRun(
                durationMillis,
                attempt.queueWaitMillis() > 0,
                attempt.prefillMillis(),
                target.tokensPerSecond(),
                request.maxTokens());
        if (target.ejection.isSlow()) {
            service.get().eject(target, nowMillis);
        }
    }

    private void recordFailure(Request request, Attempt attempt, long nowMillis) {
        boolean ejects = ejection(attempt).exists(ejection -> ejection.recordFailure(nowMillis));
        attempt.target().forEach(target -> target.cache.reduceConfidence());
        if (!ejects) {
            return;
        }
        if (attempt.route() instanceof Route.ToHost) {
            ejection(attempt).forEach(ejection -> ejection.eject(nowMillis));
            return;
        }
        attempt.target()
                .forEach(target ->
                        targetTable.service(request.service()).forEach(service -> service.eject(target, nowMillis)));
    }

    private Option<Ejection> ejection(Attempt attempt) {
        if (attempt.route() instanceof Route.ToHost toHost) {
            return remoteRegions.region(toHost.region()).map(remote -> remote.ejection);
        }
        return attempt.target().map(target -> target.ejection);
    }
}
