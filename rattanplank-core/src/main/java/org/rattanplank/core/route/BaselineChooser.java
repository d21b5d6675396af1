package org.rattanplank.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;

/**
 * The baselines that the product's policies are compared with: every target counts alike, wherever it stands.
 *
 * <p>Invariant: only eligible targets and regions are chosen. Confined to the router's lock.
 */
final class BaselineChooser implements Chooser {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final String region;
    private final Policy policy;
    private final TargetTable targets;
    private final RemoteTable remotes;
    private final RandomGenerator random;
    private int turn;

    BaselineChooser(String region, Policy policy, TargetTable targets, RemoteTable remotes, RandomGenerator random) {
        this.region = region;
        this.policy = policy;
        this.targets = targets;
        this.remotes = remotes;
        this.random = random;
    }

    @Override
    public Routing choose(Request request, Eligibility eligibility, long nowMillis) {
        Considered considered = new Considered();
        List<Choice> choices = choices(request, eligibility);
        choices.forEach(choice -> considered.add(choice.route().peer(), "eligible", choice.depth()));
        if (choices.isEmpty()) {
            Failure failure = Failure.of(Step.ROUTE, request.service(), "no target can take it");
            return new Routing.Refuse(failure, RETRY_AFTER_MILLIS, considered.list());
        }
        Route route =
                switch (policy) {
                    case RANDOM -> byPlace(choices, random.nextInt(places(choices)));
                    case ROUND_ROBIN -> byPlace(choices, Math.floorMod(turn++, places(choices)));
                    default -> leastLoaded(choices);
                };
        return new Routing.Go(route, considered.list());
    }

    private List<Choice> choices(Request request, Eligibility eligibility) {
        List<Choice> choices = new ArrayList<>();
        if (eligibility.allowedRegions().contains(region)) {
            targets.service(request.service()).forEach(service -> addTargets(service, eligibility, choices));
        }
        if (eligibility.mayCross() && policy != Policy.HOME_ONLY) {
            for (Remote remote : remotes.all()) {
                addRemote(remote, request.service(), eligibility, choices);
            }
        }
        return choices;
    }

    private static void addTargets(ServiceTargets service, Eligibility eligibility, List<Choice> choices) {
        for (Target target : service.targets()) {
            if (target.takesWork() && !eligibility.triedPeers().contains(target.name)) {
                choices.add(new Choice(new Route.ToTarget(target.name), 1, target.reportedDepth()));
            }
        }
    }

    private void addRemote(Remote remote, String service, Eligibility eligibility, List<Choice> choices) {
        if (!eligibility.allowedRegions().contains(remote.name) || !remote.mayHave(service)) {
            return;
        }
        Option<String> host = remote.host(eligibility, random);
        Option<RemoteRegion.ServiceLoad> load = remote.summary(service);
        int places = load.map(RemoteRegion.ServiceLoad::targets).getOrElse(1);
        double depth = load.map(known -> (known.running() + known.queued()) / (double) Math.max(1, known.slots()))
                .getOrElse(0.0);
        host.forEach(name -> choices.add(new Choice(new Route.ToHost(name, remote.name), places, depth)));
    }

    private static int places(List<Choice> choices) {
        int places = 0;
        for (Choice choice : choices) {
            places += choice.places();
        }
        return places;
    }

    private static Route byPlace(List<Choice> choices, int place) {
        int left = place;
        for (Choice choice : choices) {
            left -= choice.places();
            if (left < 0) {
                return choice.route();
            }
        }
        throw new IllegalArgumentException("no place " + place);
    }

    private Route leastLoaded(List<Choice> choices) {
        int offset = random.nextInt(choices.size());
        Choice best = choices.get(offset);
        for (int i = 1; i < choices.size(); i++) {
            Choice choice = choices.get((offset + i) % choices.size());
            if (choice.depth() < best.depth()) {
                best = choice;
            }
        }
        return best.route();
    }

    private record Choice(Route route, int places, double depth) {}
}
