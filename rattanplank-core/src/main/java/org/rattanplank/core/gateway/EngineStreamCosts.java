package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.rattanplank.core.host.RendezvousHashing;

/**
 * Estimates, for the choice between engines, whether a new stream would end in time at each of them and how much its
 * prefill delays the streams that run there.
 *
 * <p>An engine prefills a chunk of a waiting prompt in each step, and each step generates one token of every stream. So
 * prefill delays all streams of the engine, and an engine that prefills all the time makes them several times slower
 * than they could be, even if its queue is short.
 *
 * <p>Invariants: an unknown inter-token latency counts as the mean of the known ones, that of an engine without
 * requests as their minimum; the reserved engines are the same on all hosts that may use the same engines. Confined to
 * its owner's thread.
 */
final class EngineStreamCosts {
    /** Fraction of a stream's time that is planned for, as callers' estimates of its length are often too low. */
    private static final double PLANNED_TIME_FRACTION = 0.6;

    /** Fraction of the engines that prefill little, for streams that end in time only there. */
    private static final double RESERVED_FRACTION = 0.25;

    /** Factor by which the prefill time of a prompt counts against a reserved engine. */
    private static final double RESERVED_COST_FACTOR = 10;

    /** Mean number of lagging streams per engine from which on the cost of reserved engines counts in full. */
    private static final double MAX_LAGGING_PER_ENGINE = 3;

    private final ServiceRule service;
    private final double prefillMillisPerToken;
    private final Map<GatewayTarget, StreamStats> statsByEngine = new IdentityHashMap<>();
    private final StreamStats total;
    private final double minInterTokenMillis;
    private final Set<GatewayTarget> reserved;

    private EngineStreamCosts(
            List<GatewayTarget> engines, ServiceRule service, double prefillMillisPerToken, long nowMillis) {
        this.service = service;
        this.prefillMillisPerToken = prefillMillisPerToken;
        StreamStats sum = StreamStats.NONE;
        double minMillis = Double.MAX_VALUE;
        for (GatewayTarget engine : engines) {
            StreamStats stats = engine.streams().totalStats(nowMillis);
            statsByEngine.put(engine, stats);
            sum = sum.plus(stats);
            minMillis = stats.isKnown() ? Math.min(minMillis, stats.meanInterTokenMillis()) : minMillis;
        }
        total = sum;
        minInterTokenMillis = sum.isKnown() ? minMillis : 0;
        reserved = total.lagging() == 0 ? Set.of() : reserved(engines, service);
    }

    /**
     * Evaluates the engines that a request may be sent to.
     *
     * @param engines the engines
     * @param service their service
     * @param prefillMillisPerToken the time that an engine takes to prefill a token
     * @param nowMillis the time
     * @return the costs of their streams
     */
    static EngineStreamCosts of(
            List<GatewayTarget> engines, ServiceRule service, double prefillMillisPerToken, long nowMillis) {
        return new EngineStreamCosts(engines, service, prefillMillisPerToken, nowMillis);
    }

    /** Returns the mean time between two events of a stream at an engine. */
    double interTokenMillis(GatewayTarget engine) {
        StreamStats stats = statsByEngine.get(engine);
        if (stats.isKnown()) {
            return stats.meanInterTokenMillis();
        }
        return isIdle(engine) ? minInterTokenMillis : total.meanInterTokenMillis();
    }

    private static boolean isIdle(GatewayTarget engine) {
        return engine.totalWork().requests() == 0;
    }

    /** Returns the mean time between two events at the best quarter of the engines; zero if none is known. */
    double bestInterTokenMillis() {
        List<Double> millis = new ArrayList<>();
        statsByEngine.keySet().forEach(engine -> millis.add(interTokenMillis(engine)));
        millis.sort(Comparator.naturalOrder());
        int best = Math.max(1, (int) (RESERVED_FRACTION * millis.size()));
        return millis.stream().limit(best).mapToDouble(each -> each).average().orElse(0);
    }

    /** Returns the time that prefilling a token takes from lagging streams, at a mean engine. */
    double delayCostMillisPerToken() {
        return statsByEngine.isEmpty() ? 0 : prefillMillisPerToken * total.lagging() / statsByEngine.size();
    }

    /** Estimates by how much a stream would exceed its time at an engine. */
    double overrunMillis(GatewayTarget engine, Work work, double firstEventMillis) {
        return overrunMillis(service, work, firstEventMillis, interTokenMillis(engine));
    }

    /**
     * Estimates by how much a stream would exceed its time.
     *
     * @param service its service
     * @param work the work of the request
     * @param firstEventMillis the time to its first event
     * @param interTokenMillis the time between two events
     * @return milliseconds, zero if it would end in time or isn't known to be a stream
     */
    static double overrunMillis(ServiceRule service, Work work, double firstEventMillis, double interTokenMillis) {
        if (service.eventTokens() <= 0 || work.remainingMillis() <= 0) {
            return 0;
        }
        double events = work.outputTokens() / (double) service.eventTokens();
        return Math.max(
                0, firstEventMillis + events * interTokenMillis - PLANNED_TIME_FRACTION * work.remainingMillis());
    }

    /**
     * Returns the time that prefilling so many tokens takes from the lagging streams of an engine, summed over them.
     */
    double delayCostMillis(GatewayTarget engine, double tokens) {
        return tokens * prefillMillisPerToken * statsByEngine.get(engine).lagging();
    }

    /**
     * Returns the cost that keeps prompts away from engines reserved for streams that would end too late elsewhere. It
     * grows with the number of lagging streams; while there are none, all engines cost the same.
     */
    double reservedCostMillis(GatewayTarget engine, int tokens) {
        if (!reserved.contains(engine) || isIdle(engine)) {
            return 0;
        }
        double pressure = Math.min(1, total.lagging() / (MAX_LAGGING_PER_ENGINE * statsByEngine.size()));
        return RESERVED_COST_FACTOR * pressure * tokens * prefillMillisPerToken;
    }

    private static Set<GatewayTarget> reserved(List<GatewayTarget> engines, ServiceRule service) {
        long hash = RendezvousHashing.hash(service.name());
        List<GatewayTarget> order = new ArrayList<>(engines);
        order.sort(Comparator.comparingLong(engine -> engine.affinityScore(hash)));
        return new HashSet<>(order.subList(0, (int) (RESERVED_FRACTION * order.size())));
    }
}
