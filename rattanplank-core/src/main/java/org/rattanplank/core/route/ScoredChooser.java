package org.rattanplank.core.route;

import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.limit.AdmissionControl;
import org.rattanplank.core.limit.Backlog;
import org.rattanplank.core.limit.Rejection;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;

/**
 * Chooses the candidate with the lowest score: a few targets of this region, some by prefix affinity and some at
 * random, and the other regions. Work leaves the region only while the service's spillover gate is open.
 *
 * <p>Invariant: only eligible targets and regions are chosen. Guarded by the router's lock.
 */
final class ScoredChooser implements Chooser {
    private static final int RANDOM_CANDIDATES = 2;
    private static final int MAX_RANDOM_PICKS = 8;
    /** Prefix affinity fills a target beyond its slots only up to this multiple of the mean load. */
    private static final double BOUNDED_LOAD_FACTOR = 1.5;
    /** Score penalty for each consecutive failure of a target. */
    private static final double FAILURE_PENALTY_MILLIS = 500;
    /** Score of a fully utilized target or region, in mean run times. */
    private static final double UTILIZATION_WEIGHT = 0.1;
    /**
     * Penalty of a region without a free slot, in mean run times: the queue wait at home must be longer by this much
     * before work moves from one full region to another.
     */
    private static final double FULL_REGION_PENALTY_RUNS = 1;

    private final String region;
    private final Policy policy;
    private final TargetTable targets;
    private final RemoteRegionTable remoteRegions;
    private final PrefixAffinity affinity;
    private final AdmissionControl admission;
    private final RandomGenerator random;

    ScoredChooser(
            String region,
            Policy policy,
            TargetTable targets,
            RemoteRegionTable remoteRegions,
            PrefixAffinity affinity,
            AdmissionControl admission,
            RandomGenerator random) {
        this.region = region;
        this.policy = policy;
        this.targets = targets;
        this.remoteRegions = remoteRegions;
        this.affinity = affinity;
        this.admission = admission;
        this.random = random;
    }

    @Override
    public RoutingDecision choose(Request request, Eligibility eligibility, long nowMillis) {
        Decision decision = new Decision(request, eligibility, nowMillis);
        decision.considerTargets();
        decision.considerRemoteRegions();
        return decision.decide();
    }

    /** One routing decision; its fields hold the best candidates found so far. */
    private final class Decision {
        private final Request request;
        private final Eligibility eligibility;
        private final Set<String> triedPeers;
        private final Set<String> allowedRegions;
        private final boolean mayLeaveRegion;
        private final long nowMillis;
        private final CandidateLog candidateLog = new CandidateLog();
        private final Option<ServiceTargets> service;
        private Option<ScoredRoute> bestTarget = Option.none();
        private Option<ScoredRoute> bestRegion = Option.none();

        Decision(Request request, Eligibility eligibility, long nowMillis) {
            this.request = request;
            this.eligibility = eligibility;
            this.triedPeers = eligibility.triedPeers();
            this.allowedRegions = eligibility.allowedRegions();
            this.mayLeaveRegion = eligibility.mayLeaveRegion();
            this.nowMillis = nowMillis;
            this.service = targets.service(request.service());
        }

        void considerTargets() {
            if (!allowedRegions.contains(region) || service.isEmpty()) {
                return;
            }
            ServiceTargets serviceTargets = service.get();
            serviceTargets.refreshTotals(nowMillis);
            if (serviceTargets.size() == 0) {
                return;
            }
            considerAffinityTargets(serviceTargets);
            for (int i = 0; i < RANDOM_CANDIDATES; i++) {
                randomTarget(serviceTargets).forEach(target -> considerTarget(target, serviceTargets));
            }
            if (serviceTargets.excludedCount() > 0) {
                candidateLog.add(
                        serviceTargets.excludedCount() + " of " + serviceTargets.size(),
                        "ejected or not accepting requests",
                        0);
            }
        }

        private void considerAffinityTargets(ServiceTargets serviceTargets) {
            Option<Long> key = affinity.affinityKey(request.prefixHashes());
            if (key.isEmpty()) {
                return;
            }
            Predicate<Target> withinBound = target -> isSelectable(target) && isWithinLoadBound(target, serviceTargets);
            // Requests for two services may carry the same prefix. Without the check of the service, a request could be
            // sent to a target of the other service; symptom: answers of the wrong service.
            affinity.lastTarget(key.get())
                    .filter(target -> target.service.equals(request.service()))
                    .filter(withinBound)
                    .forEach(target -> considerTarget(target, serviceTargets));
            PrefixAffinity.firstTwo(serviceTargets.targets(), serviceTargets.seeds(), key.get(), withinBound)
                    .forEach(target -> considerTarget(target, serviceTargets));
        }

        /**
         * Returns whether the target is within its load bound (consistent hashing with bounded loads): a popular prefix
         * fills its target up to the bound, and further requests go to the next target in rendezvous order.
         */
        private boolean isWithinLoadBound(Target target, ServiceTargets serviceTargets) {
            int load = target.load.load();
            return load < target.slots(nowMillis) || load + 1 <= BOUNDED_LOAD_FACTOR * (serviceTargets.meanLoad() + 1);
        }

        private boolean isSelectable(Target target) {
            return target.acceptsRequests()
                    && target.ejection.allowsRequest(target.load.ownInFlight(), nowMillis)
                    && !triedPeers.contains(target.name)
                    && !target.isWarmingUpAndFull(nowMillis);
        }

        private Option<Target> randomTarget(ServiceTargets serviceTargets) {
            Target[] candidates = serviceTargets.targets();
            for (int i = 0; i < MAX_RANDOM_PICKS; i++) {
                Target target = candidates[random.nextInt(candidates.length)];
                if (isSelectable(target)) {
                    return Option.some(target);
                }
            }
            int offset = random.nextInt(candidates.length);
            for (int i = 0; i < candidates.length; i++) {
                Target target = candidates[(offset + i) % candidates.length];
                if (isSelectable(target)) {
                    return Option.some(target);
                }
            }
            return Option.none();
        }

        private void considerTarget(Target target, ServiceTargets serviceTargets) {
            WorkEstimate work = serviceTargets.workEstimate;
            double capacityShare = mayLeaveRegion ? Math.max(0.01, remoteRegions.share(region, nowMillis)) : 1;
            double queueWait = target.queueWaitMillis(work.meanRunMillis(), capacityShare, nowMillis);
            double utilization =
                    UTILIZATION_WEIGHT * work.meanRunMillis() * target.load.load() / target.slots(nowMillis);
            double prefill = prefillMillis(target);
            double failurePenalty = target.ejection.consecutiveFailures() * FAILURE_PENALTY_MILLIS;
            double score = policy.score(queueWait + utilization + failurePenalty, prefill, 0);
            candidateLog.add(target.name, "eligible", score);
            if (bestTarget.isEmpty() || score < bestTarget.get().score()) {
                double ahead = target.queueWaitMillis(work.meanRunMillis(), 1, nowMillis)
                        * serviceTargets.classMix.shareAheadOf(request.workClass());
                double run = prefill + work.outputMillis(request, target.tokensPerSecond());
                Backlog backlog = new Backlog(ahead, run, work.meanRunMillis());
                bestTarget = Option.some(new ScoredRoute(new Route.ToTarget(target.name), score, backlog));
            }
        }

        private double prefillMillis(Target target) {
            double cached = target.cache.cachedTokens(request.prefixHashes(), request.promptTokens());
            return WorkEstimate.prefillMillis(request.promptTokens() - cached, target.tokensPerSecond());
        }

        void considerRemoteRegions() {
            if (!mayLeaveRegion) {
                return;
            }
            for (RemoteRegionState remote : remoteRegions.all()) {
                if (allowedRegions.contains(remote.name)) {
                    considerRemoteRegion(remote);
                }
            }
        }

        private void considerRemoteRegion(RemoteRegionState remote) {
            Option<RemoteRegion.ServiceLoad> summary = remote.summary(request.service());
            LoadEstimate load = remote.load(request.service());
            if (summary.isEmpty() || !remote.ejection.allowsRequest(load.ownInFlight(), nowMillis)) {
                return;
            }
            double slots = remote.slots(summary.get(), remoteRegions.share(remote.name, nowMillis), nowMillis);
            boolean isFresh = nowMillis - summary.get().reportedAtMillis() <= RemoteRegionState.MAX_SUMMARY_AGE_MILLIS;
            if (!isFresh || !remote.acceptsMore(request.service(), slots, nowMillis)) {
                candidateLog.add(remote.name, isFresh ? "no capacity" : "no recent summary", 0);
                return;
            }
            double meanRun = service.map(targetsHere -> targetsHere.workEstimate.meanRunMillis())
                    .getOrElse(0.0);
            double queueWait = remote.queueWaitMillis(request.service(), slots, meanRun);
            double utilization = UTILIZATION_WEIGHT * meanRun * load.load() / Math.max(1, slots);
            double fullPenalty = remote.hasCapacity(request.service(), slots) ? 0 : FULL_REGION_PENALTY_RUNS * meanRun;
            double prefill = WorkEstimate.prefillMillis(request.promptTokens(), typicalTokensPerSecond());
            double score = policy.score(
                    queueWait + utilization + fullPenalty, prefill, RemoteRegionState.CROSS_REGION_LATENCY_MILLIS);
            candidateLog.add(remote.name, "eligible", score);
            if (bestRegion.isEmpty() || score < bestRegion.get().score()) {
                double run = service.map(
                                targetsHere -> targetsHere.workEstimate.outputMillis(request, typicalTokensPerSecond()))
                        .getOrElse(1.0);
                Backlog backlog =
                        new Backlog(queueWait + RemoteRegionState.CROSS_REGION_LATENCY_MILLIS, prefill + run, meanRun);
                bestRegion = remote.randomHost(eligibility, random)
                        .map(host -> new ScoredRoute(new Route.ToHost(host, remote.name), score, backlog))
                        .orElse(bestRegion);
            }
        }

        /**
         * Returns the decode rate of this region's first target; the engines of other regions are assumed to match it.
         */
        private double typicalTokensPerSecond() {
            return service.filter(serviceTargets -> serviceTargets.size() > 0)
                    .map(serviceTargets -> serviceTargets.targets()[0].tokensPerSecond())
                    .getOrElse(0.0);
        }

        RoutingDecision decide() {
            if (bestTarget.isDefined() && bestRegion.isDefined()) {
                double gain = bestTarget.get().score() - bestRegion.get().score();
                boolean spillsOver =
                        service.exists(serviceTargets -> serviceTargets.spilloverGate.shouldSpillOver(gain));
                return spillsOver
                        ? chooseFirstInTime(bestRegion.get(), bestTarget)
                        : chooseFirstInTime(bestTarget.get(), bestRegion);
            }
            if (bestTarget.isDefined()) {
                return chooseFirstInTime(bestTarget.get(), Option.none());
            }
            if (bestRegion.isDefined()) {
                return chooseFirstInTime(bestRegion.get(), Option.none());
            }
            return fallback();
        }

        /**
         * Routes to the first candidate that is expected to meet the deadline, and rejects the request if neither is.
         */
        private RoutingDecision chooseFirstInTime(ScoredRoute first, Option<ScoredRoute> second) {
            Option<Rejection> rejection = admission.rejectIfLate(request, first.backlog(), nowMillis);
            if (rejection.isEmpty()) {
                return new RoutingDecision.Dispatch(first.route(), candidateLog.candidates());
            }
            if (second.exists(other ->
                    admission.rejectIfLate(request, other.backlog(), nowMillis).isEmpty())) {
                return new RoutingDecision.Dispatch(second.get().route(), candidateLog.candidates());
            }
            Failure failure =
                    Failure.of(Step.ROUTE, request.service(), rejection.get().reason());
            return new RoutingDecision.Reject(failure, rejection.get().retryAfterMillis(), candidateLog.candidates());
        }

        /**
         * Routes without a scored candidate: to another region that may serve the request, even if its load is unknown,
         * else to the least loaded target, even if it is ejected or warming up. Rejects the request if there is none.
         */
        private RoutingDecision fallback() {
            Option<Route> route = firstOtherRegion().orElse(this::leastLoadedTarget);
            if (route.isDefined()) {
                candidateLog.add(route.get().peer(), "last resort", 0);
                return new RoutingDecision.Dispatch(route.get(), candidateLog.candidates());
            }
            Failure failure = Failure.of(Step.ROUTE, request.service(), "no target can take it");
            return new RoutingDecision.Reject(
                    failure, targets.retryAfterMillis(request.service(), nowMillis), candidateLog.candidates());
        }

        private Option<Route> firstOtherRegion() {
            if (!mayLeaveRegion) {
                return Option.none();
            }
            for (RemoteRegionState remote : remoteRegions.all()) {
                boolean mayServe = allowedRegions.contains(remote.name) && remote.mayServe(request.service());
                boolean isAllowed = remote.ejection.allowsRequest(
                        remote.load(request.service()).ownInFlight(), nowMillis);
                Option<String> host = mayServe && isAllowed ? remote.randomHost(eligibility, random) : Option.none();
                if (host.isDefined()) {
                    return Option.some(new Route.ToHost(host.get(), remote.name));
                }
            }
            return Option.none();
        }

        private Option<Route> leastLoadedTarget() {
            if (!allowedRegions.contains(region) || service.isEmpty()) {
                return Option.none();
            }
            Option<Target> best = Option.none();
            for (Target target : service.get().targets()) {
                boolean isCandidate = target.mayReceive(nowMillis) && !triedPeers.contains(target.name);
                if (isCandidate && !best.exists(found -> found.load.load() <= target.load.load())) {
                    best = Option.some(target);
                }
            }
            return best.map(target -> new Route.ToTarget(target.name));
        }
    }

    /** A route with its score in milliseconds and the work ahead of the request there. */
    private record ScoredRoute(Route route, double score, Backlog backlog) {}
}
