package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.host.Rendezvous;

/**
 * Chooses the target of the own region that is expected to answer first.
 *
 * <p>Invariants: eligibility goes before the estimate; a cold target gets work only from the one host of the region that
 * owns it. Confined to its owner's thread.
 */
public final class TargetChooser {
    /** The part of a target's connections that one host may use while it knows of others. */
    private static final double CONNECTION_FRACTION = 0.9;

    /** Estimates so close are drawn between at random, so that hosts with the same view don't all send to one target. */
    private static final double TIE_FRACTION = 0.02;

    /** Each running generation slows the others' tokens a little; this spreads work between idle engines. */
    private static final double MILLIS_PER_RUNNING_REQUEST = 2;

    /**
     * How much longer a request may wait at a target that keeps its shared parts, for each token that another one would
     * read again: reading is paid for, and takes the time of others.
     */
    private static final double RECOMPUTE_COST_MILLIS_PER_TOKEN = 0.05;

    /**
     * The part of the time taken from streams that are behind which counts when a request is refused or sent elsewhere:
     * most of them survive one more prompt.
     */
    private static final double DELAY_COST_FRACTION = 0.8;

    private final String self;
    private final TargetPool pool;
    private final RandomGenerator random;
    private final Mechanisms mechanisms;
    private final Map<String, LatencyModel> models = new HashMap<>();

    private TargetChooser(String self, TargetPool pool, RandomGenerator random, Mechanisms mechanisms) {
        this.self = self;
        this.mechanisms = mechanisms;
        this.pool = pool;
        this.random = random;
    }

    /**
     * Makes a chooser.
     *
     * @param self this host's name
     * @param pool the targets of its region
     * @param random what breaks ties
     * @return the chooser
     */
    public static TargetChooser of(String self, TargetPool pool, RandomGenerator random) {
        return of(self, pool, random, Mechanisms.ALL);
    }

    /**
     * Makes a chooser that may leave mechanisms out.
     *
     * @param self this host's name
     * @param pool the targets of its region
     * @param random what breaks ties
     * @param mechanisms which mechanisms are in use
     * @return the chooser
     */
    public static TargetChooser of(String self, TargetPool pool, RandomGenerator random, Mechanisms mechanisms) {
        return new TargetChooser(self, pool, random, mechanisms);
    }

    /**
     * What is learnt of a service's times.
     *
     * @param service the service
     * @return its model
     */
    public LatencyModel model(String service) {
        return models.computeIfAbsent(service, name -> new LatencyModel());
    }

    /**
     * Chooses a target.
     *
     * @param service the service
     * @param work what is asked
     * @param excluded the texts of runs of targets that must not be chosen
     * @param region the hosts of this region
     * @param nowMillis the time
     * @return the choice, or none if no target may take it
     */
    public Option<Choice> choose(
            ServiceRule service, Work work, Set<String> excluded, RegionView region, long nowMillis) {
        List<GatewayTarget> eligible = healthyOrAll(eligible(service, excluded, region, nowMillis), nowMillis);
        List<PromptPart> shared = work.sharedParts();
        int sharedTokens = work.sharedTokens();
        GatewayTarget keeper = mechanisms.uses(Mechanism.KEEPER) ? affinityTarget(eligible, shared) : null;
        double readAgainMillisPerToken = mechanisms.uses(Mechanism.READ_AGAIN) ? RECOMPUTE_COST_MILLIS_PER_TOKEN : 0;
        EngineStreamCosts paces = streamCosts(eligible, service, nowMillis);
        GatewayTarget best = null;
        double bestMillis = Double.MAX_VALUE;
        for (GatewayTarget target : eligible) {
            int readTokens = prefillTokens(target, work, keeper);
            double firstMillis = expectedMillis(target, service, work, readTokens, nowMillis);
            int readAgainTokens = target == keeper ? 0 : Math.max(0, sharedTokens - target.cachedTokens(shared));
            double millis = firstMillis * (1 + TIE_FRACTION * random.nextDouble())
                    + overrunMillis(paces, target, work, firstMillis)
                    + paces.delayCostMillis(target, readTokens)
                    + paces.reservedCostMillis(target, readTokens)
                    + readAgainMillisPerToken * readAgainTokens;
            if (millis < bestMillis) {
                best = target;
                bestMillis = millis;
            }
        }
        if (best == null) {
            return Option.none();
        }
        int readTokens = prefillTokens(best, work, keeper);
        double firstMillis = expectedMillis(best, service, work, readTokens, nowMillis);
        Outlook outlook = new Outlook(
                "",
                queueWaitMillis(best, service, work, nowMillis),
                firstMillis,
                hasSpareCapacity(best, work)
                        ? 0
                        : paces.delayCostMillis(best, chargedTokens(service, work.urgency(), readTokens)),
                overrunMillis(paces, best, work, firstMillis));
        return Option.some(
                new Choice(best, outlook, readTokens, eligible.size(), transferSource(best, keeper, shared, sharedTokens)));
    }

    /** Expects the time to a target's first event or answer. */
    private double expectedMillis(
            GatewayTarget target, ServiceRule service, Work work, int readTokens, long nowMillis) {
        LatencyModel model = model(service.name());
        int requests = target.all().requests();
        if (!service.isModel()) {
            return model.answerMillis(requests, target.slots());
        }
        double tokens = target.all().waiting().ahead(work.urgency()) + (double) readTokens;
        return roomMillis(target, service, work)
                + model.firstEventMillis(tokens, work.urgency(), nowMillis)
                + MILLIS_PER_RUNNING_REQUEST * Math.min(requests, target.slots());
    }

    /** Whether nothing waits at a target and most of its places are free: a refusal would help nobody there. */
    private static boolean hasSpareCapacity(GatewayTarget target, Work work) {
        return target.all().waiting().ahead(work.urgency()) <= 0
                && 2 * target.all().requests() < target.slots();
    }

    /**
     * The tokens of a prompt that a target would have to read. The one that keeps its shared parts has read them for any
     * host of the region; this host alone has sent it only a few of them.
     */
    private static int prefillTokens(GatewayTarget target, Work work, GatewayTarget keeper) {
        int uncachedTokens = target.uncachedTokens(work);
        return target == keeper
                ? Math.min(uncachedTokens, Math.max(0, work.promptTokens() - work.sharedTokens()))
                : uncachedTokens;
    }

    /**
     * Chooses a target that a request is not refused for, if there is one: one that ends a long stream soonest may have so
     * much to read that the stream would be refused there, while another begins it in time.
     *
     * @param demand the request
     * @param region the hosts of this region
     * @param nowMillis the time
     * @return the choice, or none if no target may take it
     */
    public Option<Choice> choose(Demand demand, RegionView region, long nowMillis) {
        Option<Choice> best = choose(demand, demand.work(), region, nowMillis);
        if (!demand.service().isModel() || !best.exists(choice -> isRejected(choice, demand))) {
            return best;
        }
        return choose(demand, demand.work().within(0), region, nowMillis)
                .filter(choice -> !isRejected(choice, demand))
                .orElse(best);
    }

    private Option<Choice> choose(Demand demand, Work work, RegionView region, long nowMillis) {
        return choose(demand.service(), work, demand.tried(), region, nowMillis);
    }

    private static boolean isRejected(Choice choice, Demand demand) {
        return choice.outlook()
                .shouldRefuse(demand.route().objectiveMillis(), demand.work().urgency());
    }

    /**
     * What other regions are told of the streams that run here.
     *
     * @param service their service
     * @param region the hosts of this region
     * @param nowMillis the time
     * @return how they get on
     */
    public RegionStreams streams(ServiceRule service, RegionView region, long nowMillis) {
        EngineStreamCosts paces = streamCosts(eligible(service, Set.of(), region, nowMillis), service, nowMillis);
        return new RegionStreams(paces.bestInterTokenMillis(), paces.delayCostMillisPerToken());
    }

    /**
     * The tokens for which a prompt is charged when it is refused or sent elsewhere for the streams that it delays. A large
     * one is charged like others of its urgency: or the largest would never be served while any stream is behind.
     *
     * @param service its service
     * @param urgency its urgency
     * @param readTokens the tokens that would be read
     * @return tokens
     */
    double chargedTokens(ServiceRule service, Urgency urgency, int readTokens) {
        return DELAY_COST_FRACTION * Math.min(readTokens, model(service.name()).usualTokens(urgency));
    }

    private EngineStreamCosts streamCosts(List<GatewayTarget> eligible, ServiceRule service, long nowMillis) {
        return mechanisms.uses(Mechanism.SPARE_STREAMS)
                ? EngineStreamCosts.of(eligible, service, model(service.name()).readMillisPerToken(nowMillis), nowMillis)
                : EngineStreamCosts.of(eligible, service, 0, nowMillis);
    }

    /**
     * How much longer a stream would take than it may. An engine that reads many prompts makes the streams beside them
     * slow: long ones end at their time without their last events, while another engine would have ended them.
     */
    private double overrunMillis(EngineStreamCosts paces, GatewayTarget target, Work work, double firstMillis) {
        return mechanisms.uses(Mechanism.END_IN_TIME) ? paces.overrunMillis(target, work, firstMillis) : 0;
    }

    /**
     * Leaves out targets that fail, unless that would leave fewer than half: when all fail alike, leaving some out helps
     * none and takes the room of those that would have been answered. One would see refusals while targets are idle.
     */
    private List<GatewayTarget> healthyOrAll(List<GatewayTarget> eligible, long nowMillis) {
        if (!mechanisms.uses(Mechanism.LEAVE_OUT_FAILING)) {
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
     * The target that keeps a prompt's shared parts for all hosts of the region, by their hash. Without it, each host
     * would have its own target read them, and prompts would be read again that another target holds.
     */
    private static GatewayTarget affinityTarget(List<GatewayTarget> eligible, List<PromptPart> shared) {
        if (shared.isEmpty()) {
            return null;
        }
        long partHash = Rendezvous.hash(shared.get(shared.size() - 1).id());
        GatewayTarget keeper = null;
        for (GatewayTarget target : eligible) {
            if (keeper == null || target.affinityScore(partHash) > keeper.affinityScore(partHash)) {
                keeper = target;
            }
        }
        return keeper;
    }

    /**
     * Where the chosen target may copy shared parts from: the one that keeps them, if it is not the chosen one. Copying a
     * part takes an engine far less time than reading it. On eight days with trouble a fifth to a quarter fewer tokens of
     * shared parts were read again with it (1.9 instead of 2.5 million a day), and 2 to 5 % fewer tokens in all.
     */
    private Option<GatewayTarget> transferSource(
            GatewayTarget chosen, GatewayTarget keeper, List<PromptPart> shared, int sharedTokens) {
        boolean lacksParts = keeper != null && keeper != chosen && chosen.cachedTokens(shared) < sharedTokens;
        return lacksParts && mechanisms.uses(Mechanism.COPY_PARTS) ? Option.some(keeper) : Option.none();
    }

    private double queueWaitMillis(GatewayTarget target, ServiceRule service, Work work, long nowMillis) {
        if (!service.isModel()) {
            return Math.max(
                    0,
                    expectedMillis(target, service, work, 0, nowMillis)
                            - model(service.name()).answerMillis(0, 1));
        }
        double tokens = target.all().waiting().ahead(work.urgency());
        double perToken = model(service.name()).perUnitMillis(true, work.urgency(), target.slots(), nowMillis);
        return roomMillis(target, service, work) + tokens * perToken;
    }

    /**
     * Expects the time that a request waits at an engine for a slot and memory.
     *
     * @param target the engine
     * @param service its service
     * @param work what is asked
     * @return milliseconds
     */
    public double roomMillis(GatewayTarget target, ServiceRule service, Work work) {
        if (!mechanisms.uses(Mechanism.ROOM)) {
            return 0;
        }
        return model(service.name())
                .roomMillis(
                        target.all().requests() + 1 - target.slots(),
                        target.slots(),
                        target.kvCacheShortfallTokens(work, service.memoryTokens()),
                        target.all().memoryTokens());
    }

    private List<GatewayTarget> eligible(ServiceRule service, Set<String> excluded, RegionView region, long nowMillis) {
        List<GatewayTarget> eligible = new ArrayList<>();
        for (GatewayTarget target : pool.all()) {
            if (isEligible(target, service, excluded, region, nowMillis)) {
                eligible.add(target);
            }
        }
        return eligible;
    }

    private boolean isEligible(
            GatewayTarget target, ServiceRule service, Set<String> excluded, RegionView region, long nowMillis) {
        if (!target.entry().service().equals(service.name()) || excluded.contains(target.runText())) {
            return false;
        }
        if (!pool.isUsable(target, nowMillis)) {
            return false;
        }
        if (service.maxConnections() > 0 && target.all().requests() >= CONNECTION_FRACTION * service.maxConnections()) {
            return false;
        }
        return !target.isCold(nowMillis) || mayWarmUp(target, service, region, nowMillis);
    }

    /**
     * Whether this host may send to a cold target. Without one owner, each host would send as much as the target bears
     * by itself, and it would crash again; one would see it restart in a loop. A host that isn't sure to know all others
     * may wrongly take itself for the owner, so it sends nothing there: a warm target, or another region, has to do.
     */
    private boolean mayWarmUp(GatewayTarget target, ServiceRule service, RegionView region, long nowMillis) {
        if (!region.certain()
                || !Rendezvous.rank(region.hosts(), target.id()).get(0).equals(self)) {
            return false;
        }
        int mostPerSecond = Math.max(1, (int) Math.floor(service.coldPerSecond()));
        return target.hasColdCapacity(mostPerSecond, nowMillis);
    }
}
