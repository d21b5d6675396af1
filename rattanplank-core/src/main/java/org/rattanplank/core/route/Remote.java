package org.rattanplank.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;

/**
 * What the router knows of one other region.
 *
 * <p>Invariant: after it could not be reached, or lost its service, its usable capacity grows from a small share at a
 * bounded rate, since its caches are cold. Confined to the router's lock.
 */
final class Remote {
    /** The time that a request and its answer lose on the way to another region and back. */
    static final double CROSSING_MILLIS = 250;

    /** Above this age a summary says too little to leave the region for. */
    static final long OLDEST_SUMMARY_MILLIS = 15_000;

    /** Own sends count so often until a summary covers them, since this region's other hosts see the same summary. */
    static final int HERD = 2;

    private static final double COLD_SHARE = 0.1;
    private static final double WARM_UP_PER_SECOND = 0.1;

    final String name;
    final Ejection ejection = new Ejection();
    private final Map<String, LoadEstimate> loads = new HashMap<>();
    private RemoteRegion known;
    private Ramp warmth;

    Remote(RemoteRegion known, long nowMillis) {
        this.name = known.region();
        this.known = new RemoteRegion(name, List.of(), Map.of());
        this.warmth = Ramp.at(1, WARM_UP_PER_SECOND, nowMillis);
        learn(known, nowMillis, false);
    }

    void learn(RemoteRegion newer, long nowMillis) {
        learn(newer, nowMillis, known.hosts().isEmpty());
    }

    private void learn(RemoteRegion newer, long nowMillis, boolean returns) {
        if (returns && !newer.hosts().isEmpty()) {
            warmth = Ramp.at(COLD_SHARE, WARM_UP_PER_SECOND, nowMillis).towards(1, nowMillis);
        }
        known = newer;
        newer.services().forEach((service, load) -> load(service)
                .reported(load.running() + load.queued(), load.reportedAtMillis()));
    }

    /** The load of a service, or none if the region has no target of it or does not say. */
    Option<RemoteRegion.ServiceLoad> summary(String service) {
        return Option.of(known.services().get(service)).filter(load -> load.targets() > 0);
    }

    /** Whether the region may have the service: it says so, or it has not said anything yet. */
    boolean mayHave(String service) {
        return known.services().isEmpty() || summary(service).isDefined();
    }

    LoadEstimate load(String service) {
        return loads.computeIfAbsent(service, added -> new LoadEstimate());
    }

    double slots(RemoteRegion.ServiceLoad summary, double share, long nowMillis) {
        return summary.slots() * share * warmth.value(nowMillis);
    }

    /** Whether the region runs what it has without a queue. */
    boolean hasRoom(String service, double slots) {
        return load(service).load() < slots;
    }

    /** Whether more may be sent: a region whose caches are still cold is not filled beyond its usable slots. */
    boolean mayTakeMore(String service, double slots, long nowMillis) {
        return warmth.value(nowMillis) >= 1 || hasRoom(service, slots);
    }

    double waitMillis(String service, double slots, double meanRunMillis) {
        return Math.max(0, load(service).load() + 1 - slots) / Math.max(1, slots) * meanRunMillis;
    }

    /** Picks one of its hosts at random that has not been tried. */
    Option<String> host(Eligibility eligibility, RandomGenerator random) {
        List<String> hosts = known.hosts();
        int offset = hosts.isEmpty() ? 0 : random.nextInt(hosts.size());
        for (int i = 0; i < hosts.size(); i++) {
            String host = hosts.get((offset + i) % hosts.size());
            if (!eligibility.triedPeers().contains(host)) {
                return Option.some(host);
            }
        }
        return Option.none();
    }
}
