package org.rattanplank.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;

/**
 * The router's view of one other region.
 *
 * <p>Invariant: after the region was unreachable or without entry hosts, its usable capacity grows from a small share
 * at a bounded rate, because its prefix caches are cold. Guarded by the router's lock.
 */
final class RemoteRegionState {
    /** Additional latency of a request that another region serves, there and back. */
    static final double CROSS_REGION_LATENCY_MILLIS = 250;

    /** A region whose summary is older than this is not a candidate for spillover. */
    static final long MAX_SUMMARY_AGE_MILLIS = 15_000;

    /**
     * Weight of each own request until a summary covers it. The other hosts of this region see the same summary;
     * without the weight all of them would send their spillover to the same idle region at once.
     */
    static final int OWN_SEND_WEIGHT = 2;

    private static final double COLD_CAPACITY_SHARE = 0.1;
    private static final double WARM_UP_PER_SECOND = 0.1;

    final String name;
    final Ejection ejection = new Ejection();
    private final Map<String, LoadEstimate> loads = new HashMap<>();
    private RemoteRegion latest;
    private Ramp warmUpShare;

    RemoteRegionState(RemoteRegion initial, long nowMillis) {
        this.name = initial.region();
        this.latest = new RemoteRegion(name, List.of(), Map.of());
        this.warmUpShare = Ramp.at(1, WARM_UP_PER_SECOND, nowMillis);
        update(initial, nowMillis, false);
    }

    void update(RemoteRegion newest, long nowMillis) {
        update(newest, nowMillis, latest.hosts().isEmpty());
    }

    private void update(RemoteRegion newest, long nowMillis, boolean becomesReachable) {
        if (becomesReachable && !newest.hosts().isEmpty()) {
            warmUpShare =
                    Ramp.at(COLD_CAPACITY_SHARE, WARM_UP_PER_SECOND, nowMillis).rampTo(1, nowMillis);
        }
        latest = newest;
        newest.services().forEach((service, load) -> load(service)
                .recordReport(load.running() + load.queued(), load.reportedAtMillis()));
    }

    /** Returns the load of a service, or none if the region has no target of it or has not reported it. */
    Option<RemoteRegion.ServiceLoad> summary(String service) {
        return Option.of(latest.services().get(service)).filter(load -> load.targets() > 0);
    }

    /** Returns whether the region may serve the service: it reports targets of it, or has not reported anything yet. */
    boolean mayServe(String service) {
        return latest.services().isEmpty() || summary(service).isDefined();
    }

    LoadEstimate load(String service) {
        return loads.computeIfAbsent(service, added -> new LoadEstimate());
    }

    double slots(RemoteRegion.ServiceLoad summary, double capacityShare, long nowMillis) {
        return summary.slots() * capacityShare * warmUpShare.value(nowMillis);
    }

    /** Returns whether the region has a free slot, so that a request would not queue. */
    boolean hasCapacity(String service, double slots) {
        return load(service).load() < slots;
    }

    /** Returns whether more may be sent: a region that is still warming up is not filled beyond its usable slots. */
    boolean acceptsMore(String service, double slots, long nowMillis) {
        return warmUpShare.value(nowMillis) >= 1 || hasCapacity(service, slots);
    }

    double queueWaitMillis(String service, double slots, double meanRunMillis) {
        return Math.max(0, load(service).load() + 1 - slots) / Math.max(1, slots) * meanRunMillis;
    }

    /** Returns a random entry host of the region that the request has not been sent to yet. */
    Option<String> randomHost(Eligibility eligibility, RandomGenerator random) {
        List<String> hosts = latest.hosts();
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
