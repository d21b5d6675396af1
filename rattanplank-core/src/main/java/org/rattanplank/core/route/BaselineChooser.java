package org.rattanplank.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;

/**
 * The baseline policies that the scored policies are compared with: every target has the same weight, whatever its
 * region.
 *
 * <p>Invariant: only eligible targets and regions are chosen. Guarded by the router's lock.
 */
final class BaselineChooser implements Chooser {
    private final String region;
    private final Policy policy;
    private final TargetTable targets;
    private final RemoteRegionTable remoteRegions;
    private final RandomGenerator random;
    private int nextTurn;

    BaselineChooser(
            String region,
            Policy policy,
            TargetTable targets,
            RemoteRegionTable remoteRegions,
            RandomGenerator random) {
        this.region = region;
        this.policy = policy;
        this.targets = targets;
        this.remoteRegions = remoteRegions;
        this.random = random;
    }

    @Override
    public RoutingDecision choose(Request request, Eligibility eligibility, long nowMillis) {
        CandidateLog candidateLog = new CandidateLog();
        List<WeightedRoute> candidates = candidates(request, eligibility, nowMillis);
        candidates.forEach(
                candidate -> candidateLog.add(candidate.route().peer(), "eligible", candidate.loadPerSlot()));
        if (candidates.isEmpty()) {
            Failure failure = Failure.of(Step.ROUTE, request.service(), "no target can take it");
            return new RoutingDecision.Reject(
                    failure, targets.retryAfterMillis(request.service(), nowMillis), candidateLog.candidates());
        }
        Route route =
                switch (policy) {
                    case RANDOM -> byTargetIndex(candidates, random.nextInt(targetCount(candidates)));
                    case ROUND_ROBIN -> byTargetIndex(candidates, Math.floorMod(nextTurn++, targetCount(candidates)));
                    default -> leastLoaded(candidates);
                };
        return new RoutingDecision.Dispatch(route, candidateLog.candidates());
    }

    private List<WeightedRoute> candidates(Request request, Eligibility eligibility, long nowMillis) {
        List<WeightedRoute> candidates = new ArrayList<>();
        if (eligibility.allowedRegions().contains(region)) {
            targets.service(request.service())
                    .forEach(service -> addTargets(service, eligibility, nowMillis, candidates));
        }
        if (eligibility.mayLeaveRegion() && policy != Policy.HOME_ONLY) {
            for (RemoteRegionState remote : remoteRegions.all()) {
                addRemote(remote, request.service(), eligibility, candidates);
            }
        }
        return candidates;
    }

    private static void addTargets(
            ServiceTargets service, Eligibility eligibility, long nowMillis, List<WeightedRoute> candidates) {
        for (Target target : service.targets()) {
            if (target.mayReceive(nowMillis) && !eligibility.triedPeers().contains(target.name)) {
                candidates.add(new WeightedRoute(new Route.ToTarget(target.name), 1, target.reportedLoadPerSlot()));
            }
        }
    }

    private void addRemote(
            RemoteRegionState remote, String service, Eligibility eligibility, List<WeightedRoute> candidates) {
        if (!eligibility.allowedRegions().contains(remote.name) || !remote.mayServe(service)) {
            return;
        }
        Option<String> host = remote.randomHost(eligibility, random);
        Option<RemoteRegion.ServiceLoad> load = remote.summary(service);
        int targetsThere = load.map(RemoteRegion.ServiceLoad::targets).getOrElse(1);
        double loadPerSlot = load.map(
                        summary -> (summary.running() + summary.queued()) / (double) Math.max(1, summary.slots()))
                .getOrElse(0.0);
        host.forEach(name ->
                candidates.add(new WeightedRoute(new Route.ToHost(name, remote.name), targetsThere, loadPerSlot)));
    }

    private static int targetCount(List<WeightedRoute> candidates) {
        int count = 0;
        for (WeightedRoute candidate : candidates) {
            count += candidate.targetCount();
        }
        return count;
    }

    private static Route byTargetIndex(List<WeightedRoute> candidates, int index) {
        int remaining = index;
        for (WeightedRoute candidate : candidates) {
            remaining -= candidate.targetCount();
            if (remaining < 0) {
                return candidate.route();
            }
        }
        throw new IllegalArgumentException("no target at index " + index);
    }

    private Route leastLoaded(List<WeightedRoute> candidates) {
        int offset = random.nextInt(candidates.size());
        WeightedRoute best = candidates.get(offset);
        for (int i = 1; i < candidates.size(); i++) {
            WeightedRoute candidate = candidates.get((offset + i) % candidates.size());
            if (candidate.loadPerSlot() < best.loadPerSlot()) {
                best = candidate;
            }
        }
        return best.route();
    }

    private record WeightedRoute(Route route, int targetCount, double loadPerSlot) {}
}
