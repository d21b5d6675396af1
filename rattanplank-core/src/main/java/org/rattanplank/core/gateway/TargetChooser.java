package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.host.RendezvousHashing;

/**
 * Chooses the target of this host's region that is expected to answer first.
 *
 * <p>Invariants: eligibility takes precedence over the estimate; a cold target receives requests only from the one host
 * of the region that rendezvous hashing assigns to it. Confined to its owner's thread.
 */
public final class TargetChooser {
    /**
     * Fraction of a target's connections that may be in use when a host sends to it; the rest is left to other hosts.
     */
    private static final double CONNECTION_FRACTION = 0.9;

    /**
     * Estimates that differ by less than this fraction are drawn between at random, so that hosts with the same view
     * don't all send to one target.
     */
    private static final double TIE_FRACTION = 0.02;

    /** Slowdown added for each running request, which spreads load between idle engines. */
    private static final double MILLIS_PER_RUNNING_REQUEST = 2;

    /**
     * Additional wait that is accepted, per token, at a target that has shared prompt parts cached over one that would
     * recompute them: prefill is billed and delays other requests.
     */
    private static final double RECOMPUTE_COST_MILLIS_PER_TOKEN = 0.05;

    /**
     * Fraction of the time taken from lagging streams that counts when a request is rejected or sent elsewhere: most of
     * these streams still end in time after one more prompt.
     */
    private static final double DELAY_COST_FRACTION = 0.8;

    private static final int PHASE_BITS = 32;

    private final String self;
    private final TargetPool pool;
    private final RandomGenerator random;
    private final Mechanisms mechanisms;
    private final BackupChooser backupChooser;
    private final Map<String, LatencyModel> models = new HashMap<>();

    private TargetChooser(String self, TargetPool pool, RandomGenerator random, Mechanisms mechanisms) {
        this.self = self;
        this.mechanisms = mechanisms;
        this.pool = pool;
        this.random = random;
        backupChooser = new BackupChooser(pool, random);
    }

    /**
     * Creates a chooser.
     *
     * @param self this host's name
     * @param pool the targets of its region
     * @param random the random source that breaks ties
     * @return the chooser
     */
    public static TargetChooser of(String self, TargetPool pool, RandomGenerator random) {
        return of(self, pool, random, Mechanisms.ALL);
    }

    /**
     * Creates a chooser that may have mechanisms switched off.
     *
     * @param self this host's name
     * @param pool the targets of its region
     * @param random the random source that breaks ties
     * @param mechanisms the mechanisms in use
     * @return the chooser
     */
    public static TargetChooser of(String self, TargetPool pool, RandomGenerator random, Mechanisms mechanisms) {
        return new TargetChooser(self, pool, random, mechanisms);
    }

    /**
     * Returns the latency model of a service.
     *
     * @param service the service
     * @return its model
     */
    public LatencyModel latencyModel(String service) {
        return models.computeIfAbsent(service, name -> new LatencyModel());
    }

    /**
     * Chooses a target.
     *
     * @param service the service
     * @param work the work of the request
     * @param excluded the texts of incarnations that must not be chosen
     * @param regionView the hosts of this region
     * @param nowMillis the time
     * @return the choice, or none if no target may accept the request
     */
    public Option<TargetChoice> choose(
            ServiceRule service, Work work, Set<String> excluded, RegionView regionView, long nowMillis) {
        return choose(service, work, excluded, regionView, region -> false, nowMillis);
    }

    private Option<TargetChoice> choose(
            ServiceRule service,
            Work work,
            Set<String> excluded,
            RegionView regionView,
            Predicate<String> mayServe,
            long nowMillis) {
        List<GatewayTarget> eligible = healthyOrAll(eligible(service, excluded, regionView, nowMillis), nowMillis);
        List<PromptPart> shared = work.sharedParts();
        int sharedTokens = work.sharedTokens();
        GatewayTarget affinityTarget = mechanisms.isEnabled(Mechanism.KEEPER) ? affinityTarget(eligible, shared) : null;
        double recomputeMillisPerToken =
                mechanisms.isEnabled(Mechanism.READ_AGAIN) ? RECOMPUTE_COST_MILLIS_PER_TOKEN : 0;
        EngineStreamCosts streamCosts = streamCosts(eligible, service, nowMillis);
        GatewayTarget best = null;
        double bestMillis = Double.MAX_VALUE;
        for (GatewayTarget target : eligible) {
            int prefillTokens = prefillTokens(target, work, affinityTarget);
            double firstEventMillis = expectedMillis(target, service, work, prefillTokens, nowMillis);
            int recomputeTokens =
                    target == affinityTarget ? 0 : Math.max(0, sharedTokens - target.cachedTokens(shared));
            double millis = firstEventMillis * (1 + TIE_FRACTION * random.nextDouble())
                    + overrunMillis(streamCosts, target, work, firstEventMillis)
                    + streamCosts.delayCostMillis(target, prefillTokens)
                    + streamCosts.reservedCostMillis(target, prefillTokens)
                    + recomputeMillisPerToken * recomputeTokens;
            if (millis < bestMillis) {
                best = target;
                bestMillis = millis;
            }
        }
        if (best == null) {
            return Option.none();
        }
        int prefillTokens = prefillTokens(best, work, affinityTarget);
        double firstEventMillis = expectedMillis(best, service, work, prefillTokens, nowMillis);
        ServiceEstimate estimate = new ServiceEstimate(
                "",
                queueWaitMillis(best, service, work, nowMillis),
                firstEventMillis,
                hasSpareCapacity(best, work)
                        ? 0
                        : streamCosts.delayCostMillis(best, chargedTokens(service, work.urgency(), prefillTokens)),
                overrunMillis(streamCosts, best, work, firstEventMillis));
        return Option.some(new TargetChoice(
                best, estimate, prefillTokens, eligible.size(), transferSource(best, affinityTarget, work, mayServe)));
    }

    /** Estimates the time to a target's first event or answer. */
    private double expectedMillis(
            GatewayTarget target, ServiceRule service, Work work, int prefillTokens, long nowMillis) {
        LatencyModel model = latencyModel(service.name());
        int requests = target.totalWork().requests();
        if (!service.isModel()) {
            return model.answerMillis(requests, target.slots());
        }
        double tokens = target.totalWork().prefillBacklog().ahead(work.urgency()) + (double) prefillTokens;
        return capacityWaitMillis(target, service, work)
                + model.firstEventMillis(tokens, work.urgency(), nowMillis)
                + MILLIS_PER_RUNNING_REQUEST * Math.min(requests, target.slots());
    }

    /**
     * Whether no prefill is pending at a target and most of its slots are free: rejecting a request there would help no
     * other one.
     */
    private static boolean hasSpareCapacity(GatewayTarget target, Work work) {
        return target.totalWork().prefillBacklog().ahead(work.urgency()) <= 0
                && 2 * target.totalWork().requests() < target.slots();
    }

    /**
     * Returns the tokens of a prompt that a target would have to prefill. The affinity target has the shared parts
     * cached for every host of the region, though this host alone has sent it only a few of them.
     */
    private static int prefillTokens(GatewayTarget target, Work work, GatewayTarget affinityTarget) {
        int uncachedTokens = target.uncachedTokens(work);
        return target == affinityTarget
                ? Math.min(uncachedTokens, Math.max(0, work.promptTokens() - work.sharedTokens()))
                : uncachedTokens;
    }

    /**
     * Chooses a target at which the request would not be rejected, if there is one. The target that would end a long
     * stream soonest may have so much prefill pending that the stream would be rejected there, while another one begins
     * it in time.
     *
     * @param request the request
     * @param regionView the hosts of this region
     * @param nowMillis the time
     * @return the choice, or none if no target may accept the request
     */
    public Option<TargetChoice> choose(PlacementRequest request, RegionView regionView, long nowMillis) {
        Option<TargetChoice> best = choose(request, request.work(), regionView, nowMillis);
        if (!request.service().isModel() || !best.exists(choice -> isRejected(choice, request))) {
            return best;
        }
        return choose(request, request.work().withRemainingMillis(0), regionView, nowMillis)
                .filter(choice -> !isRejected(choice, request))
                .orElse(best);
    }

    /**
     * Reserves a backup for a stream that is about to be sent. Only a stream that must not run again has one: another
     * one resumes at any engine, and a backup occupies memory and bandwidth.
     *
     * @param route the route of the stream
     * @param service its service
     * @param work its work
     * @param primary the engine that it is sent to
     * @param nowMillis the time
     * @return the backup, or none if the stream needs none or no other engine has room
     */
    public Option<StreamBackup> reserveBackup(
            RouteRule route, ServiceRule service, Work work, GatewayTarget primary, long nowMillis) {
        if (!mechanisms.isEnabled(Mechanism.BACK_UP_STREAMS)
                || !service.supportsBackups()
                || route.kind() != RouteKind.STREAM
                || route.isIdempotent()) {
            return Option.none();
        }
        return backupChooser
                .choose(primary, service, work, nowMillis)
                .map(target -> StreamBackup.reserve(primary, target, pool, work.totalTokens()));
    }

    private Option<TargetChoice> choose(PlacementRequest request, Work work, RegionView regionView, long nowMillis) {
        return choose(request.service(), work, request.excluded(), regionView, request.route()::allows, nowMillis);
    }

    private static boolean isRejected(TargetChoice choice, PlacementRequest request) {
        return choice.estimate()
                .shouldReject(request.route().objectiveMillis(), request.work().urgency());
    }

    /**
     * Returns the statistics of the streams of this region that are reported to other regions.
     *
     * @param service their service
     * @param regionView the hosts of this region
     * @param nowMillis the time
     * @return the statistics
     */
    public RegionStreamStats streamStats(ServiceRule service, RegionView regionView, long nowMillis) {
        EngineStreamCosts streamCosts =
                streamCosts(eligible(service, Set.of(), regionView, nowMillis), service, nowMillis);
        return new RegionStreamStats(streamCosts.bestInterTokenMillis(), streamCosts.delayCostMillisPerToken());
    }

    /**
     * Returns the tokens for which a prompt is charged, when it is rejected or sent elsewhere because of the streams
     * that it delays. A large prompt is charged like the mean of its urgency; otherwise the largest would never be
     * served while any stream is lagging.
     *
     * @param service its service
     * @param urgency its urgency
     * @param prefillTokens the tokens that would be prefilled
     * @return tokens
     */
    double chargedTokens(ServiceRule service, Urgency urgency, int prefillTokens) {
        return DELAY_COST_FRACTION
                * Math.min(prefillTokens, latencyModel(service.name()).meanPrefillTokens(urgency));
    }

    private EngineStreamCosts streamCosts(List<GatewayTarget> eligible, ServiceRule service, long nowMillis) {
        return mechanisms.isEnabled(Mechanism.SPARE_STREAMS)
                ? EngineStreamCosts.of(
                        eligible, service, latencyModel(service.name()).prefillMillisPerToken(nowMillis), nowMillis)
                : EngineStreamCosts.of(eligible, service, 0, nowMillis);
    }

    /**
     * Estimates by how much a stream would exceed its time. An engine that prefills many prompts slows down the streams
     * beside them: long ones reach their time-out without their last events, while another engine would have ended
     * them.
     */
    private double overrunMillis(
            EngineStreamCosts streamCosts, GatewayTarget target, Work work, double firstEventMillis) {
        return mechanisms.isEnabled(Mechanism.END_IN_TIME)
                ? streamCosts.overrunMillis(target, work, firstEventMillis)
                : 0;
    }

    /**
     * Leaves out ejected targets unless fewer than half would remain: when all fail alike, leaving some out takes away
     * the capacity of those that would have answered. Symptom: rejected requests while targets are idle.
     */
    private List<GatewayTarget> healthyOrAll(List<GatewayTarget> eligible, long nowMillis) {
        if (!mechanisms.isEnabled(Mechanism.LEAVE_OUT_FAILING)) {
            return eligible;
        }
        List<GatewayTarget> healthy = new ArrayList<>(eligible.size());
        for (GatewayTarget target : eligible) {
            if (target.isHealthy(nowMillis)) {
                healthy.add(target);
            }
        }
        return healthy.size() * 2 < eligible.size() ? eligible : healthy;
    }

    /**
     * Returns the affinity target of a prompt's shared parts, assigned by rendezvous hashing and the same on all hosts
     * of the region. Without it, each host would have its own target prefill them, and prompts would be recomputed that
     * another target has cached.
     */
    private static GatewayTarget affinityTarget(List<GatewayTarget> eligible, List<PromptPart> shared) {
        if (shared.isEmpty()) {
            return null;
        }
        long prefixHash = prefixHash(shared);
        GatewayTarget affinityTarget = null;
        for (GatewayTarget target : eligible) {
            if (target.isRateLimited()) {
                continue;
            }
            if (affinityTarget == null || target.affinityScore(prefixHash) > affinityTarget.affinityScore(prefixHash)) {
                affinityTarget = target;
            }
        }
        return affinityTarget;
    }

    private static long prefixHash(List<PromptPart> shared) {
        return RendezvousHashing.hash(shared.get(shared.size() - 1).id());
    }

    /**
     * Returns the target from which the chosen one may transfer the shared prefix: the affinity target, or that of another
     * region if it was chosen itself and this host has not sent it the prefix yet. A transfer takes an engine far less time
     * than prefill, and nothing is transferred that the chosen one has.
     */
    private Option<TargetEntry> transferSource(
            GatewayTarget chosen, GatewayTarget affinityTarget, Work work, Predicate<String> mayServe) {
        List<PromptPart> shared = work.sharedParts();
        if (affinityTarget == null
                || chosen.cachedTokens(shared) >= work.sharedTokens()
                || !mechanisms.isEnabled(Mechanism.COPY_PARTS)) {
            return Option.none();
        }
        if (affinityTarget != chosen) {
            return Option.some(affinityTarget.entry());
        }
        String service = chosen.entry().service();
        return mechanisms.isEnabled(Mechanism.COPY_FROM_REGIONS)
                ? pool.remoteEngines().affinityTarget(service, prefixHash(shared), mayServe)
                : Option.none();
    }

    private double queueWaitMillis(GatewayTarget target, ServiceRule service, Work work, long nowMillis) {
        if (!service.isModel()) {
            return Math.max(
                    0,
                    expectedMillis(target, service, work, 0, nowMillis)
                            - latencyModel(service.name()).answerMillis(0, 1));
        }
        double tokens = target.totalWork().prefillBacklog().ahead(work.urgency());
        double millisPerToken =
                latencyModel(service.name()).millisPerWorkUnit(true, work.urgency(), target.slots(), nowMillis);
        return capacityWaitMillis(target, service, work) + tokens * millisPerToken;
    }

    /**
     * Estimates the time that a request waits at an engine for a slot and KV cache memory.
     *
     * @param target the engine
     * @param service its service
     * @param work the work of the request
     * @return milliseconds
     */
    public double capacityWaitMillis(GatewayTarget target, ServiceRule service, Work work) {
        if (!mechanisms.isEnabled(Mechanism.ROOM)) {
            return 0;
        }
        return latencyModel(service.name())
                .capacityWaitMillis(
                        target.totalWork().requests() + 1 - target.slots(),
                        target.slots(),
                        target.kvCacheShortfallTokens(work.exclusiveTokens(), service.kvCacheTokens()),
                        target.totalWork().kvCacheTokens());
    }

    private List<GatewayTarget> eligible(
            ServiceRule service, Set<String> excluded, RegionView regionView, long nowMillis) {
        List<GatewayTarget> eligible = new ArrayList<>();
        for (GatewayTarget target : pool.all()) {
            if (isEligible(target, service, excluded, regionView, nowMillis)) {
                eligible.add(target);
            }
        }
        return eligible;
    }

    private boolean isEligible(
            GatewayTarget target, ServiceRule service, Set<String> excluded, RegionView regionView, long nowMillis) {
        if (!target.entry().service().equals(service.name()) || excluded.contains(target.incarnationText())) {
            return false;
        }
        if (!pool.isUsable(target, nowMillis)) {
            return false;
        }
        if (service.maxConnections() > 0
                && target.totalWork().requests() >= CONNECTION_FRACTION * service.maxConnections()) {
            return false;
        }
        if (target.isRateLimited() && !isWithinRateLimit(target, regionView, nowMillis)) {
            return false;
        }
        return !target.isCold(nowMillis) || mayWarmUp(target, service, regionView, nowMillis);
    }

    private boolean isWithinRateLimit(GatewayTarget target, RegionView regionView, long nowMillis) {
        double phase = (RendezvousHashing.mix(RendezvousHashing.hash(self) ^ RendezvousHashing.hash(target.id()))
                        >>> Long.SIZE - PHASE_BITS)
                / (double) (1L << PHASE_BITS);
        return target.rateLimit()
                .maySend(isAssigned(target, regionView), regionView.hosts().size(), phase, nowMillis);
    }

    /**
     * Whether this host is the one of the region that sends to a target whose bound holds for all hosts together. A
     * host whose view of the region may be incomplete could wrongly consider itself assigned.
     */
    private boolean isAssigned(GatewayTarget target, RegionView regionView) {
        return regionView.complete()
                && RendezvousHashing.rank(regionView.hosts(), target.id())
                        .get(0)
                        .equals(self);
    }

    /**
     * Whether this host may send to a cold target. If several hosts warmed it up, each would send as much as the target
     * sustains in total and crash it again; symptom: it restarts in a loop. Where no host is assigned, a warm target or
     * another region has to serve the request.
     */
    private boolean mayWarmUp(GatewayTarget target, ServiceRule service, RegionView regionView, long nowMillis) {
        if (!isAssigned(target, regionView)) {
            return false;
        }
        int maxPerSecond = Math.max(1, (int) Math.floor(service.coldRequestsPerSecond()));
        return target.hasColdCapacity(maxPerSecond, nowMillis);
    }
}
