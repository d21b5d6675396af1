package org.rattanplank.core.route;

import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.limit.Admission;
import org.rattanplank.core.limit.Backlog;
import org.rattanplank.core.limit.Refusal;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;

/**
 * The product's choice: the best score among a few candidates, some by prefix affinity and some at random, and another
 * region only through the service's spill gate.
 *
 * <p>Invariant: only eligible targets and regions are chosen. Confined to the router's lock.
 */
final class ScoredChooser implements Chooser {
    private static final int RANDOM_CHOICES = 2;
    private static final int RANDOM_TRIES = 8;
    private static final double BOUNDED_LOAD = 1.5;
    private static final double FAILURE_MILLIS = 500;
    private static final double CROWDING = 0.1;
    /** How much longer, in average runs, the wait at home must be than that in a region that is full as well. */
    private static final double FULL_RUNS = 1;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final String region;
    private final Policy policy;
    private final TargetTable targets;
    private final RemoteTable remotes;
    private final PrefixAffinity affinity;
    private final Admission admission;
    private final RandomGenerator random;

    ScoredChooser(
            String region,
            Policy policy,
            TargetTable targets,
            RemoteTable remotes,
            PrefixAffinity affinity,
            Admission admission,
            RandomGenerator random) {
        this.region = region;
        this.policy = policy;
        this.targets = targets;
        this.remotes = remotes;
        this.affinity = affinity;
        this.admission = admission;
        this.random = random;
    }

    @Override
    public Routing choose(Request request, Eligibility eligibility, long nowMillis) {
        Decision decision = new Decision(request, eligibility, nowMillis);
        decision.considerTargets();
        decision.considerRegions();
        return decision.routing();
    }

    /** One decision; its fields are the best found so far. */
    private final class Decision {
        private final Request request;
        private final Eligibility eligibility;
        private final Set<String> tried;
        private final Set<String> allowedRegions;
        private final boolean mayCross;
        private final long nowMillis;
        private final Considered considered = new Considered();
        private final Option<ServiceTargets> service;
        private Option<Scored> bestTarget = Option.none();
        private Option<Scored> bestRegion = Option.none();

        Decision(Request request, Eligibility eligibility, long nowMillis) {
            this.request = request;
            this.eligibility = eligibility;
            this.tried = eligibility.triedPeers();
            this.allowedRegions = eligibility.allowedRegions();
            this.mayCross = eligibility.mayCross();
            this.nowMillis = nowMillis;
            this.service = targets.service(request.service());
        }

        void considerTargets() {
            if (!allowedRegions.contains(region) || service.isEmpty()) {
                return;
            }
            ServiceTargets known = service.get();
            known.refresh(nowMillis);
            if (known.size() == 0) {
                return;
            }
            considerByAffinity(known);
            for (int i = 0; i < RANDOM_CHOICES; i++) {
                randomTarget(known).forEach(target -> consider(target, known));
            }
            if (known.leftOut() > 0) {
                considered.add(known.leftOut() + " of " + known.size(), "ejected or taking no work", 0);
            }
        }

        private void considerByAffinity(ServiceTargets known) {
            Option<Long> key = affinity.key(request.prefixHashes());
            if (key.isEmpty()) {
                return;
            }
            Predicate<Target> withinBound = target -> isOpen(target) && isWithinBound(target, known);
            // Two services may be asked with the same prefix. Without the check of the service, a booking could go to
            // the
            // model engine that saw the prefix last; one would notice answers of the wrong service.
            affinity.lastTarget(key.get())
                    .filter(target -> target.service.equals(request.service()))
                    .filter(withinBound)
                    .forEach(target -> consider(target, known));
            PrefixAffinity.firstTwo(known.targets(), known.seeds(), key.get(), withinBound)
                    .forEach(target -> consider(target, known));
        }

        /** Bounded load: a popular prefix fills its target up to a bound and then goes to the next in order. */
        private boolean isWithinBound(Target target, ServiceTargets known) {
            int load = target.load.load();
            return load < target.slots(nowMillis) || load + 1 <= BOUNDED_LOAD * (known.meanLoad() + 1);
        }

        private boolean isOpen(Target target) {
            return target.takesWork()
                    && target.ejection.allows(target.load.own(), nowMillis)
                    && !tried.contains(target.name)
                    && !target.isWarmingAndFull(nowMillis);
        }

        private Option<Target> randomTarget(ServiceTargets known) {
            Target[] all = known.targets();
            for (int i = 0; i < RANDOM_TRIES; i++) {
                Target target = all[random.nextInt(all.length)];
                if (isOpen(target)) {
                    return Option.some(target);
                }
            }
            int offset = random.nextInt(all.length);
            for (int i = 0; i < all.length; i++) {
                Target target = all[(offset + i) % all.length];
                if (isOpen(target)) {
                    return Option.some(target);
                }
            }
            return Option.none();
        }

        private void consider(Target target, ServiceTargets known) {
            WorkEstimate work = known.work;
            double share = mayCross ? Math.max(0.01, remotes.share(region, nowMillis)) : 1;
            double wait = target.waitMillis(work.meanRunMillis(), share, nowMillis);
            double crowding = CROWDING * work.meanRunMillis() * target.load.load() / target.slots(nowMillis);
            double cold = coldMillis(target);
            double failing = target.ejection.failures() * FAILURE_MILLIS;
            double score = policy.score(wait + crowding + failing, cold, 0);
            considered.add(target.name, "eligible", score);
            if (bestTarget.isEmpty() || score < bestTarget.get().score()) {
                double ahead = target.waitMillis(work.meanRunMillis(), 1, nowMillis)
                        * known.mix.partAheadOf(request.workClass());
                double run = cold + work.outputMillis(request, target.tokensPerSecond());
                Backlog backlog = new Backlog(ahead, run, work.meanRunMillis());
                bestTarget = Option.some(new Scored(new Route.ToTarget(target.name), score, backlog));
            }
        }

        private double coldMillis(Target target) {
            double cached = target.cache.cachedTokens(request.prefixHashes(), request.promptTokens());
            return WorkEstimate.prefillMillis(request.promptTokens() - cached, target.tokensPerSecond());
        }

        void considerRegions() {
            if (!mayCross) {
                return;
            }
            for (Remote remote : remotes.all()) {
                if (allowedRegions.contains(remote.name)) {
                    considerRegion(remote);
                }
            }
        }

        private void considerRegion(Remote remote) {
            Option<RemoteRegion.ServiceLoad> summary = remote.summary(request.service());
            LoadEstimate load = remote.load(request.service());
            if (summary.isEmpty() || !remote.ejection.allows(load.own(), nowMillis)) {
                return;
            }
            double slots = remote.slots(summary.get(), remotes.share(remote.name, nowMillis), nowMillis);
            boolean isFresh = nowMillis - summary.get().reportedAtMillis() <= Remote.OLDEST_SUMMARY_MILLIS;
            if (!isFresh || !remote.mayTakeMore(request.service(), slots, nowMillis)) {
                considered.add(remote.name, isFresh ? "no room" : "not heard of", 0);
                return;
            }
            double meanRun = service.map(known -> known.work.meanRunMillis()).getOrElse(0.0);
            double wait = remote.waitMillis(request.service(), slots, meanRun);
            double crowding = CROWDING * meanRun * load.load() / Math.max(1, slots);
            double full = remote.hasRoom(request.service(), slots) ? 0 : FULL_RUNS * meanRun;
            double cold = WorkEstimate.prefillMillis(request.promptTokens(), usualRate());
            double score = policy.score(wait + crowding + full, cold, Remote.CROSSING_MILLIS);
            considered.add(remote.name, "eligible", score);
            if (bestRegion.isEmpty() || score < bestRegion.get().score()) {
                double run = service.map(known -> known.work.outputMillis(request, usualRate()))
                        .getOrElse(1.0);
                Backlog backlog = new Backlog(wait + Remote.CROSSING_MILLIS, cold + run, meanRun);
                bestRegion = remote.host(eligibility, random)
                        .map(host -> new Scored(new Route.ToHost(host, remote.name), score, backlog))
                        .orElse(bestRegion);
            }
        }

        /** The generation rate of this region's first target; the other regions' engines are taken to be alike. */
        private double usualRate() {
            return service.filter(known -> known.size() > 0)
                    .map(known -> known.targets()[0].tokensPerSecond())
                    .getOrElse(0.0);
        }

        Routing routing() {
            if (bestTarget.isDefined() && bestRegion.isDefined()) {
                double gain = bestTarget.get().score() - bestRegion.get().score();
                boolean leaves = service.exists(known -> known.gate.leaves(gain));
                return leaves ? go(bestRegion.get(), bestTarget) : go(bestTarget.get(), bestRegion);
            }
            if (bestTarget.isDefined()) {
                return go(bestTarget.get(), Option.none());
            }
            if (bestRegion.isDefined()) {
                return go(bestRegion.get(), Option.none());
            }
            return lastResort();
        }

        /** Goes to the first, or to the second if the first would be late, or refuses if both would be. */
        private Routing go(Scored first, Option<Scored> second) {
            Option<Refusal> late = admission.late(request, first.backlog(), nowMillis);
            if (late.isEmpty()) {
                return new Routing.Go(first.route(), considered.list());
            }
            if (second.exists(
                    other -> admission.late(request, other.backlog(), nowMillis).isEmpty())) {
                return new Routing.Go(second.get().route(), considered.list());
            }
            Failure failure =
                    Failure.of(Step.ROUTE, request.service(), late.get().reason());
            return new Routing.Refuse(failure, late.get().retryAfterMillis(), considered.list());
        }

        /** Goes where it is not sure to help: to a region that has not said its load, or to a target left out. */
        private Routing lastResort() {
            Option<Route> route = unknownRegion().orElse(this::targetLeftOut);
            if (route.isDefined()) {
                considered.add(route.get().peer(), "last resort", 0);
                return new Routing.Go(route.get(), considered.list());
            }
            Failure failure = Failure.of(Step.ROUTE, request.service(), "no target can take it");
            return new Routing.Refuse(failure, RETRY_AFTER_MILLIS, considered.list());
        }

        private Option<Route> unknownRegion() {
            if (!mayCross) {
                return Option.none();
            }
            for (Remote remote : remotes.all()) {
                boolean may = allowedRegions.contains(remote.name) && remote.mayHave(request.service());
                boolean open =
                        remote.ejection.allows(remote.load(request.service()).own(), nowMillis);
                Option<String> host = may && open ? remote.host(eligibility, random) : Option.none();
                if (host.isDefined()) {
                    return Option.some(new Route.ToHost(host.get(), remote.name));
                }
            }
            return Option.none();
        }

        private Option<Route> targetLeftOut() {
            if (!allowedRegions.contains(region) || service.isEmpty()) {
                return Option.none();
            }
            Option<Target> best = Option.none();
            for (Target target : service.get().targets()) {
                boolean may = target.takesWork() && !tried.contains(target.name);
                if (may && !best.exists(found -> found.load.load() <= target.load.load())) {
                    best = Option.some(target);
                }
            }
            return best.map(target -> new Route.ToTarget(target.name));
        }
    }

    /** A candidate with its score and the work in its way. */
    private record Scored(Route route, double score, Backlog backlog) {}
}
