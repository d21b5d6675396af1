package org.rattanplank.core.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;

import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Place;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;

/**
 * Chooses the target or the other region's host for each attempt.
 *
 * <p>Invariant: a target that is leaving, that was tried, or whose region the request's residency does not allow is
 * never chosen. Thread safe; one lock guards all state, and no other lock is taken while it is held.
 */
public final class Router {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Place place;
    private List<ListedHost> targets = List.of();
    private List<RemoteRegion> regions = List.of();
    private final Map<String, TargetLoad> loads = new HashMap<>();
    private int turn;

    private Router(Place place) {
        this.place = place;
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
        return new Router(place);
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
            targets = List.copyOf(takingWork);
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
            regions = List.copyOf(remote);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes a new configuration.
     *
     * @param configuration the configuration in force
     * @param nowMillis the time
     */
    public void configured(Configuration configuration, long nowMillis) {}

    /**
     * Takes a target's report of its load.
     *
     * @param load the report
     * @param nowMillis the time
     */
    public void reported(TargetLoad load, long nowMillis) {
        lock.lock();
        try {
            loads.put(load.target(), load);
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
    public void missed(String target, long nowMillis) {}

    /**
     * Takes changes of a target's prefix cache.
     *
     * @param events the changes
     * @param nowMillis the time
     */
    public void cached(List<CacheEvent> events, long nowMillis) {}

    /**
     * Decides whether there is room for a request at all.
     *
     * @param request the request
     * @param nowMillis the time
     * @return a refusal, or none if the request may go on
     */
    public io.vavr.control.Option<Routing.Refuse> admit(Request request, long nowMillis) {
        return io.vavr.control.Option.none();
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
            List<Candidate> candidates = new ArrayList<>();
            List<Route> routes = new ArrayList<>();
            if (eligibility.allowedRegions().contains(place.region())) {
                for (ListedHost target : targets) {
                    if (target.service().equals(request.service()) && isUntried(target.name(), eligibility)) {
                        candidates.add(new Candidate(target.name(), "eligible", 0));
                        routes.add(new Route.ToTarget(target.name()));
                    }
                }
            }
            if (routes.isEmpty() && eligibility.mayCross()) {
                addRemote(eligibility, candidates, routes);
            }
            if (routes.isEmpty()) {
                Failure failure = Failure.of(Step.ROUTE, request.service(), "no target can take it");
                return new Routing.Refuse(failure, RETRY_AFTER_MILLIS, candidates);
            }
            return new Routing.Go(routes.get(Math.floorMod(turn++, routes.size())), candidates);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Decides whether a request that surely did not run, or may be repeated, may be tried once more.
     *
     * @param request the request
     * @param attempts how many attempts it has had
     * @param nowMillis the time
     * @return whether the retry budget allows it
     */
    public boolean mayRetry(Request request, int attempts, long nowMillis) {
        return attempts < 2;
    }

    /**
     * Takes note that an attempt has started.
     *
     * @param request the request
     * @param route where it goes
     * @param nowMillis the time
     */
    public void started(Request request, Route route, long nowMillis) {}

    /**
     * Takes note that an attempt has ended.
     *
     * @param request the request
     * @param route where it went
     * @param result how it ended
     * @param tookMillis how long it took
     * @param nowMillis the time
     */
    public void ended(Request request, Route route, AttemptResult result, long tookMillis, long nowMillis) {}

    /**
     * Takes note that a request has had its outcome.
     *
     * @param request the request
     * @param nowMillis the time
     */
    public void finished(Request request, long nowMillis) {}

    /**
     * Sums up the load of this region's services, for other regions.
     *
     * @param nowMillis the time
     * @return the loads by service
     */
    public Map<String, RemoteRegion.ServiceLoad> summary(long nowMillis) {
        lock.lock();
        try {
            Map<String, RemoteRegion.ServiceLoad> sums = new HashMap<>();
            for (ListedHost target : targets) {
                TargetLoad load = loads.get(target.name());
                if (load != null) {
                    sums.merge(target.service(), oneTarget(load, nowMillis), Router::sum);
                }
            }
            return Map.copyOf(sums);
        } finally {
            lock.unlock();
        }
    }

    private void addRemote(Eligibility eligibility, List<Candidate> candidates, List<Route> routes) {
        for (RemoteRegion region : regions) {
            if (!eligibility.allowedRegions().contains(region.region())) {
                continue;
            }
            for (String host : region.hosts()) {
                if (isUntried(host, eligibility)) {
                    candidates.add(new Candidate(host, "eligible", 0));
                    routes.add(new Route.ToHost(host, region.region()));
                }
            }
        }
    }

    private static boolean isUntried(String peer, Eligibility eligibility) {
        Set<String> tried = eligibility.triedPeers();
        return !tried.contains(peer);
    }

    private static RemoteRegion.ServiceLoad oneTarget(TargetLoad load, long nowMillis) {
        return new RemoteRegion.ServiceLoad(1, load.slots(), load.running(), load.queued(), nowMillis);
    }

    private static RemoteRegion.ServiceLoad sum(RemoteRegion.ServiceLoad left, RemoteRegion.ServiceLoad right) {
        return new RemoteRegion.ServiceLoad(
                left.targets() + right.targets(),
                left.slots() + right.slots(),
                left.running() + right.running(),
                left.queued() + right.queued(),
                Math.min(left.reportedAtMillis(), right.reportedAtMillis()));
    }
}
