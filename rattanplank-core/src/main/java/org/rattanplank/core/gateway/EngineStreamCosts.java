package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.rattanplank.core.host.Rendezvous;

/**
 * What a choice between engines has to know of the streams that run there: whether a new one would end in time, and what
 * reading its prompt takes from the others.
 *
 * <p>An engine reads a chunk of a waiting prompt in each step, and each step makes one token of every stream. So whatever
 * is read delays all streams there, and an engine that reads all the time makes them several times slower than they could
 * be, although its queue is short.
 *
 * <p>Invariants: an unknown pace counts as the mean of those known, that of an engine without requests as the least; the
 * engines that are set apart are the same on every host that may use the same ones. Confined to its owner's thread.
 */
final class EngineStreamCosts {
    /** The part of a stream's time that is planned for; callers' estimates of its length are often too low. */
    private static final double PLANNED_TIME_FRACTION = 0.6;

    /** The part of the engines that read little, for streams that end in time only there. */
    private static final double RESERVED_FRACTION = 0.25;

    /** How many times the time of its reading counts against a prompt on an engine that is set apart. */
    private static final double RESERVED_COST_FACTOR = 10;

    /** With so many streams behind at each engine on the mean, engines are set apart altogether. */
    private static final double MAX_LAGGING_PER_ENGINE = 3;

    private final ServiceRule service;
    private final double prefillMillisPerToken;
    private final Map<GatewayTarget, StreamPace> statsByEngine = new IdentityHashMap<>();
    private final StreamPace total;
    private final double minInterTokenMillis;
    private final Set<GatewayTarget> reserved;

    private EngineStreamCosts(List<GatewayTarget> engines, ServiceRule service, double readMillisPerToken, long nowMillis) {
        this.service = service;
        this.prefillMillisPerToken = readMillisPerToken;
        StreamPace sum = StreamPace.NONE;
        double least = Double.MAX_VALUE;
        for (GatewayTarget engine : engines) {
            StreamPace pace = engine.streams().all(nowMillis);
            statsByEngine.put(engine, pace);
            sum = sum.plus(pace);
            least = pace.isKnown() ? Math.min(least, pace.millis()) : least;
        }
        total = sum;
        minInterTokenMillis = sum.isKnown() ? least : 0;
        reserved = total.behind() == 0 ? Set.of() : reserved(engines, service);
    }

    /**
     * Looks at the engines that a request may go to.
     *
     * @param engines the engines
     * @param service their service
     * @param readMillisPerToken what reading a token takes
     * @param nowMillis the time
     * @return what is known of their streams
     */
    static EngineStreamCosts of(List<GatewayTarget> engines, ServiceRule service, double readMillisPerToken, long nowMillis) {
        return new EngineStreamCosts(engines, service, readMillisPerToken, nowMillis);
    }

    /** The time between two events of a stream at an engine. */
    double interTokenMillis(GatewayTarget engine) {
        StreamPace known = statsByEngine.get(engine);
        if (known.isKnown()) {
            return known.millis();
        }
        return isIdle(engine) ? minInterTokenMillis : total.millis();
    }

    private static boolean isIdle(GatewayTarget engine) {
        return engine.all().requests() == 0;
    }

    /** The time between two events at the best quarter of the engines, on the mean; zero if none is known. */
    double bestInterTokenMillis() {
        List<Double> millis = new ArrayList<>();
        statsByEngine.keySet().forEach(engine -> millis.add(interTokenMillis(engine)));
        millis.sort(Comparator.naturalOrder());
        int best = Math.max(1, (int) (RESERVED_FRACTION * millis.size()));
        return millis.stream().limit(best).mapToDouble(each -> each).average().orElse(0);
    }

    /** The time that reading a token takes from streams that are behind, at an engine on the mean. */
    double delayCostMillisPerToken() {
        return statsByEngine.isEmpty() ? 0 : prefillMillisPerToken * total.behind() / statsByEngine.size();
    }

    /** How much longer than it may a stream would take at an engine. */
    double overrunMillis(GatewayTarget engine, Work work, double firstMillis) {
        return overrunMillis(service, work, firstMillis, interTokenMillis(engine));
    }

    /**
     * How much longer than it may a stream would take.
     *
     * @param service its service
     * @param work what it asks
     * @param firstMillis the time to its first event
     * @param paceMillis the time between two events
     * @return milliseconds, zero if it would end in time or isn't known to be a stream
     */
    static double overrunMillis(ServiceRule service, Work work, double firstMillis, double paceMillis) {
        if (service.eventTokens() <= 0 || work.remainingMillis() <= 0) {
            return 0;
        }
        double events = work.outputTokens() / (double) service.eventTokens();
        return Math.max(0, firstMillis + events * paceMillis - PLANNED_TIME_FRACTION * work.remainingMillis());
    }

    /** The time that reading so many tokens takes from the streams of an engine that are behind, added up over them. */
    double delayCostMillis(GatewayTarget engine, double tokens) {
        return tokens * prefillMillisPerToken * statsByEngine.get(engine).behind();
    }

    /**
     * What keeps prompts away from engines that are set apart for streams that would end too late elsewhere. The more
     * streams are behind, the more it counts; while none is, all engines are alike.
     */
    double reservedCostMillis(GatewayTarget engine, int tokens) {
        if (!reserved.contains(engine) || isIdle(engine)) {
            return 0;
        }
        double pressure = Math.min(1, total.behind() / (MAX_LAGGING_PER_ENGINE * statsByEngine.size()));
        return RESERVED_COST_FACTOR * pressure * tokens * prefillMillisPerToken;
    }

    private static Set<GatewayTarget> reserved(List<GatewayTarget> engines, ServiceRule service) {
        long hash = Rendezvous.hash(service.name());
        List<GatewayTarget> order = new ArrayList<>(engines);
        order.sort(Comparator.comparingLong(engine -> engine.affinityScore(hash)));
        return new HashSet<>(order.subList(0, (int) (RESERVED_FRACTION * order.size())));
    }
}
