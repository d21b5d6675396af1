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
import org.rattanplank.core.host.Place;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.limit.Admission;
import org.rattanplank.core.limit.Backlog;
import org.rattanplank.core.limit.Refusal;
import org.rattanplank.core.limit.RetryBudget;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;

/**
 * Chooses the target or the other region's host for each attempt, and decides what there is room for.
 *
 * <p>Invariant: a target that is leaving, that was tried, or whose region the request's residency does not allow is
 * never chosen. Thread safe; one lock guards all state, and no other lock is taken while it is held.
 */
public final class Router {
    /** How many attempts may run at once; more requests are refused, so that memory stays bounded. */
    static final int MAX_ATTEMPTS = 65_536;

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long LONGEST_BUSY_MILLIS = 2_000;
    private static final long LONGEST_REGION_PAUSE_MILLIS = 100;
    private static final int SERVER_ERROR = 500;

    private final ReentrantLock lock = new ReentrantLock();
    private final String region;
    private final Policy policy;
    private final TargetTable targets;
    private final RemoteTable remotes = new RemoteTable();
    private final PrefixAffinity affinity = new PrefixAffinity();
    private final Admission admission;
    private final RetryBudget budget = RetryBudget.full();
    private final Chooser chooser;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private Configuration configuration = Configuration.empty();

    private Router(Place place, Policy policy, RandomGenerator random) {
        this.region = place.region();
        this.policy = policy;
        this.targets = new TargetTable(policy);
        this.admission = Admission.of(random);
        this.chooser = policy.isBaseline()
                ? new BaselineChooser(region, policy, targets, remotes, random)
                : new ScoredChooser(region, policy, targets, remotes, affinity, admission, random);
    }

    /**
     * Makes a router that knows no target.
     *
     * @param place where this host stands
     * @param policy what the deployment weighs
     * @param seed the seed of random choices
     * @return the router
     */
    public static Router of(Place place, Policy policy, long seed) {
        return new Router(place, policy, new SplittableRandom(seed));
    }

    /**
     * Takes the targets of this region that take work; others get no more.
     *
     * @param takingWork the targets that are listed and not leaving
     * @param nowMillis the time
     */
    public void targets(List<ListedHost> takingWork, long nowMillis) {
        lock.lock();
        try {
            targets.listed(takingWork, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes what is known of the other regions.
     *
     * @param remote the other regions
     * @param nowMillis the time
     */
    public void regions(List<RemoteRegion> remote, long nowMillis) {
        lock.lock();
        try {
            remotes.learn(remote, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes a new configuration.
     *
     * @param newer the configuration in force
     * @param nowMillis the time
     */
    public void configured(Configuration newer, long nowMillis) {
        lock.lock();
        try {
            configuration = newer;
            targets.configured(newer);
            remotes.configured(newer, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes a target's report of its load.
     *
     * @param load the report
     * @param nowMillis the time
     */
    public void reported(TargetLoad load, long nowMillis) {
        lock.lock();
        try {
            targets.reported(load, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes note that a target did not answer when it was asked for its load.
     *
     * @param target the target
     * @param nowMillis the time
     */
    public void missed(String target, long nowMillis) {
        lock.lock();
        try {
            targets.missed(target, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes changes of a target's prefix cache.
     *
     * @param events the changes
     * @param nowMillis the time
     */
    public void cached(List<CacheEvent> events, long nowMillis) {
        lock.lock();
        try {
            for (CacheEvent event : events) {
                targets.target(event.target()).forEach(target -> target.cache.changed(event));
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Decides whether there is room for a request at all.
     *
     * @param request the request
     * @param nowMillis the time
     * @return a refusal, or none if the request may go on
     */
    public Option<Routing.Refuse> admit(Request request, long nowMillis) {
        lock.lock();
        try {
            if (attempts.size() >= MAX_ATTEMPTS) {
                return Option.some(refuse(request, new Refusal("too many requests run", RETRY_AFTER_MILLIS)));
            }
            Option<Refusal> refusal = policy.isBaseline() ? Option.none() : refusal(request, nowMillis);
            if (refusal.isEmpty()) {
                budget.earn();
            }
            return refusal.map(found -> refuse(request, found));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Chooses where an attempt goes.
     *
     * @param request the request
     * @param eligibility where it may go at all
     * @param nowMillis the time
     * @return the decision
     */
    public Routing choose(Request request, Eligibility eligibility, long nowMillis) {
        lock.lock();
        try {
            return chooser.choose(request, eligibility, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Decides whether a request that surely did not run, or may be repeated, may be tried once more.
     *
     * @param request the request
     * @param attemptsHad how many attempts it has had
     * @param nowMillis the time
     * @return whether the retry budget allows it
     */
    public boolean mayRetry(Request request, int attemptsHad, long nowMillis) {
        lock.lock();
        try {
            return policy.isBaseline() ? attemptsHad < 2 : budget.spend(attemptsHad);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes note that an attempt has started.
     *
     * @param request the request
     * @param route where it goes
     * @param nowMillis the time
     */
    public void started(Request request, Route route, long nowMillis) {
        lock.lock();
        try {
            takeBack(request, nowMillis);
            Attempt attempt = expected(request, route, nowMillis);
            attempts.put(request.id(), attempt);
            if (route instanceof Route.ToHost toHost) {
                remotes.region(toHost.region())
                        .forEach(remote -> remote.load(request.service()).started(Remote.HERD, nowMillis));
            }
            attempt.target().forEach(target -> sent(request, target, nowMillis));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes note that an attempt has ended.
     *
     * @param request the request
     * @param route where it went
     * @param result how it ended
     * @param tookMillis how long it took
     * @param nowMillis the time
     */
    public void ended(Request request, Route route, AttemptResult result, long tookMillis, long nowMillis) {
        lock.lock();
        try {
            takeBack(request, nowMillis).forEach(attempt -> judge(request, attempt, result, tookMillis, nowMillis));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes note that a request has had its outcome.
     *
     * @param request the request
     * @param nowMillis the time
     */
    public void finished(Request request, long nowMillis) {
        lock.lock();
        try {
            Option<Attempt> attempt = takeBack(request, nowMillis);
            // A silent target never ends an attempt: its failures would not be seen by the results alone, and it would
            // look idle once its requests are given up. An attempt that outlived the deadline counts as a failure.
            if (nowMillis >= request.deadlineMillis()) {
                attempt.forEach(running -> failed(request, running, nowMillis));
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Sums up the load of this region's services, for other regions.
     *
     * @param nowMillis the time
     * @return the loads by service
     */
    public Map<String, RemoteRegion.ServiceLoad> summary(long nowMillis) {
        lock.lock();
        try {
            Map<String, RemoteRegion.ServiceLoad> sums = new TreeMap<>();
            targets.services().forEach((name, service) -> sums.put(name, service.sum(nowMillis)));
            return sums;
        } finally {
            lock.unlock();
        }
    }

    private Option<Refusal> refusal(Request request, long nowMillis) {
        double weight =
                configuration.account(request.account()).map(Account::weight).getOrElse(1.0);
        return admission.admit(request, weight, backlog(request, nowMillis), nowMillis);
    }

    /** The work in the way of a request if this region's targets shared it evenly; none if it may go elsewhere. */
    private Backlog backlog(Request request, long nowMillis) {
        Option<ServiceTargets> known = targets.service(request.service());
        if (known.isEmpty()) {
            return new Backlog(0, 1, 1);
        }
        ServiceTargets service = known.get();
        service.refresh(nowMillis);
        double rate = service.size() == 0 ? 0 : service.targets()[0].tokensPerSecond();
        double run = service.work.outputMillis(request, rate);
        double wait = service.hasRoom() || mayGoElsewhere(request, nowMillis) ? 0 : service.waitMillis();
        double ahead = wait * service.mix.partAheadOf(request.workClass());
        return new Backlog(ahead, run, service.work.meanRunMillis());
    }

    private boolean mayGoElsewhere(Request request, long nowMillis) {
        if (request.isForwarded()) {
            return false;
        }
        for (String name : configuration.allowedRegions(request.homeRegion(), request.residency())) {
            boolean hasRoom = !name.equals(region)
                    && remotes.region(name).exists(remote -> remote.summary(request.service())
                            .exists(summary -> remote.hasRoom(
                                    request.service(),
                                    remote.slots(summary, remotes.share(name, nowMillis), nowMillis))));
            if (hasRoom) {
                return true;
            }
        }
        return false;
    }

    private static Routing.Refuse refuse(Request request, Refusal refusal) {
        Failure failure = Failure.of(Step.ADMIT, request.service(), refusal.reason());
        return new Routing.Refuse(failure, refusal.retryAfterMillis(), List.of());
    }

    private Attempt expected(Request request, Route route, long nowMillis) {
        Option<ServiceTargets> service = targets.service(request.service());
        Option<Target> target = route instanceof Route.ToTarget ? targets.target(route.peer()) : Option.none();
        if (service.isEmpty() || target.isEmpty()) {
            return new Attempt(route, target, 0, 0, 0);
        }
        WorkEstimate work = service.get().work;
        double rate = target.get().tokensPerSecond();
        double cached = target.get().cache.cachedTokens(request.prefixHashes(), request.promptTokens());
        double prefill = WorkEstimate.prefillMillis(request.promptTokens() - cached, rate);
        double wait = target.get().waitMillis(work.meanRunMillis(), 1, nowMillis);
        double run = work.isLearned() ? prefill + work.outputMillis(request, rate) : 0;
        return new Attempt(route, target, wait, prefill, run);
    }

    private void sent(Request request, Target target, long nowMillis) {
        target.load.started(1, nowMillis);
        target.cache.sent(request.prefixHashes(), request.promptTokens());
        affinity.sent(request.prefixHashes(), target);
        targets.service(request.service()).forEach(service -> {
            service.changed(1);
            service.mix.sent(request.workClass());
        });
    }

    /** Ends the count of the attempt that the request has now. */
    private Option<Attempt> takeBack(Request request, long nowMillis) {
        Option<Attempt> running = Option.of(attempts.remove(request.id()));
        running.forEach(attempt -> {
            if (attempt.route() instanceof Route.ToHost toHost) {
                remotes.region(toHost.region())
                        .forEach(remote -> remote.load(request.service()).ended(nowMillis));
            }
            attempt.target().forEach(target -> {
                target.load.ended(nowMillis);
                targets.service(request.service()).forEach(service -> service.changed(-1));
            });
        });
        return running;
    }

    private void judge(Request request, Attempt attempt, AttemptResult result, long tookMillis, long nowMillis) {
        if (result instanceof AttemptResult.Whole whole && whole.answer().status() < SERVER_ERROR) {
            succeeded(request, attempt, tookMillis, nowMillis);
        } else if (result instanceof AttemptResult.NotRun notRun && isRefusal(notRun)) {
            long untilMillis = nowMillis + Math.min(longestPauseMillis(attempt), notRun.retryAfterMillis());
            ejection(attempt).forEach(ejection -> ejection.busy(untilMillis));
        } else {
            failed(request, attempt, nowMillis);
        }
    }

    /** Whether the other side is there and has only refused this request, so that it has not failed. */
    private static boolean isRefusal(AttemptResult.NotRun notRun) {
        return switch (notRun.failure().step()) {
            case ACCEPT, ADMIT, CLAIM, ROUTE -> true;
            case FORWARD, CONNECT, SEND, RECEIVE -> notRun.retryAfterMillis() > 0;
        };
    }

    /** A region refuses one account or one deadline and may have room for the next; a target refuses all alike. */
    private static long longestPauseMillis(Attempt attempt) {
        return attempt.route() instanceof Route.ToHost ? LONGEST_REGION_PAUSE_MILLIS : LONGEST_BUSY_MILLIS;
    }

    private void succeeded(Request request, Attempt attempt, long tookMillis, long nowMillis) {
        Option<ServiceTargets> service = targets.service(request.service());
        if (attempt.target().isEmpty() || service.isEmpty()) {
            ejection(attempt).forEach(ejection -> ejection.succeeded(1));
            return;
        }
        Target target = attempt.target().get();
        WorkEstimate work = service.get().work;
        target.ejection.succeeded(attempt.expectedMillis()
                .map(expected -> work.relativeSlowness(tookMillis, expected))
                .getOrElse(1.0));
        work.learn(
                tookMillis,
                attempt.waitMillis() > 0,
                attempt.prefillMillis(),
                target.tokensPerSecond(),
                request.maxTokens());
        if (target.ejection.isSlow()) {
            service.get().eject(target, nowMillis);
        }
    }

    private void failed(Request request, Attempt attempt, long nowMillis) {
        boolean leavesOut = ejection(attempt).exists(ejection -> ejection.failed(nowMillis));
        attempt.target().forEach(target -> target.cache.doubt());
        if (!leavesOut) {
            return;
        }
        if (attempt.route() instanceof Route.ToHost) {
            ejection(attempt).forEach(ejection -> ejection.eject(nowMillis));
            return;
        }
        attempt.target().forEach(target -> targets.service(request.service())
                .forEach(service -> service.eject(target, nowMillis)));
    }

    private Option<Ejection> ejection(Attempt attempt) {
        if (attempt.route() instanceof Route.ToHost toHost) {
            return remotes.region(toHost.region()).map(remote -> remote.ejection);
        }
        return attempt.target().map(target -> target.ejection);
    }
}
