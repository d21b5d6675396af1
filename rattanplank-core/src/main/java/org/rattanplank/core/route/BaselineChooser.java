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
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final String region;
    private final Policy policy;
    private final TargetTable targets;
    private final RemoteRegionTable remoteRegions;
    private final RandomGenerator random;
    private int nextTurn;

    BaselineChooser(
            String region, Policy policy, TargetTable targets, RemoteRegionTable remotes, RandomGenerator random) {
        this.region = region;
        this.policy = policy;
        this.targets = targets;
        this.remoteRegions = remotes;
        this.random = random;
    }

    @Override
    public Routing choose(Request request, Eligibility eligibility, long nowMillis) {
        CandidateLog considered = new CandidateLog();
        List<WeightedRoute> choices = choices(request, eligibility);
        choices.forEach(choice -> considered.add(choice.route().peer(), "eligible", choice.loadPerSlot()));
        if (choices.isEmpty()) {
            Failure failure = Failure.of(Step.ROUTE, request.service(), "no target can take it");
            return new Routing.Refuse(failure, RETRY_AFTER_MILLIS, considered.candidates());
        }
        Route route =
                switch (policy) {
                    case RANDOM -> byTargetIndex(choices, random.nextInt(targetCount(choices)));
                    case ROUND_ROBIN -> byTargetIndex(choices, Math.floorMod(nextTurn++, targetCount(choices)));
                    default -> leastLoaded(choices);
                };
        return new Routing.Go(route, considered.candidates());
    }

    private List<WeightedRoute> choices(Request request, Eligibility eligibility) {
        List<WeightedRoute> choices = new ArrayList<>();
        if (eligibility.allowedRegions().contains(region)) {
            targets.service(request.service()).forEach(service -> addTargets(service, eligibility, choices));
        }
        if (eligibility.mayLeaveRegion() && policy != Policy.HOME_ONLY) {
            for (RemoteRegionState remote : remoteRegions.all()) {
                addRemote(remote, request.service(), eligibility, choices);
            }
        }
        return choices;
    }

    private static void addTargets(ServiceTargets service, Eligibility eligibility, List<WeightedRoute> choices) {
        for (Target target : service.targets()) {
            if (target.acceptsRequests() && !eligibility.triedPeers().contains(target.name)) {
                choices.add(new WeightedRoute(new Route.ToTarget(target.name), 1, target.reportedLoadPerSlot()));
            }
        }
    }

    private void addRemote(
            RemoteRegionState remote, String service, Eligibility eligibility, List<WeightedRoute> choices) {
        if (!eligibility.allowedRegions().contains(remote.name) || !remote.mayServe(service)) {
            return;
        }
        Option<String> host = remote.randomHost(eligibility, random);
        Option<RemoteRegion.ServiceLoad> load = remote.summary(service);
        int targetsThere = load.map(RemoteRegion.ServiceLoad::targets).getOrElse(1);
        double depth = load.map(
                        summary -> (summary.running() + summary.queued()) / (double) Math.max(1, summary.slots()))
                .getOrElse(0.0);
        host.forEach(name -> choices.add(new WeightedRoute(new Route.ToHost(name, remote.name), targetsThere, depth)));
    }

    private static int targetCount(List<WeightedRoute> choices) {
        int count = 0;
        for (WeightedRoute choice : choices) {
            count += choice.targetCount();
        }
        return count;
    }

    private static Route byTargetIndex(List<WeightedRoute> choices, int index) {
        int remaining = index;
        for (WeightedRoute choice : choices) {
            remaining -= choice.targetCount();
            if (remaining < 0) {
                return choice.route();
            }
        }
        throw new IllegalArgumentException("no target at index " + index);
    }

    private Route leastLoaded(List<WeightedRoute> choices) {
        int offset = random.nextInt(choices.size());
        WeightedRoute best = choices.get(offset);
        for (int i = 1; i < choices.size(); i++) {
            WeightedRoute choice = choices.get((offset + i) % choices.size());
            if (choice.loadPerSlot() < best.loadPerSlot()) {
                best = choice;
            }
        }
        return best.route();
    }

    private record WeightedRoute(Route route, int targetCount, double loadPerSlot) {}
}
