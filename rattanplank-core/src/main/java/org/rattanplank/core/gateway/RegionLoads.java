package org.rattanplank.core.gateway;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how soon other regions would answer, from the reports of their hosts.
 *
 * <p>Invariant: a report is valid for a limited time only, and the requests that this host has sent there since are
 * added to it. Confined to its owner's thread.
 */
public final class RegionLoads {
    /** Time without a report, beyond the interval between reports, after which a region is considered unreachable. */
    public static final long REPORT_TIMEOUT_MILLIS = 3_000;

    private final Map<String, Map<String, EnumMap<Urgency, Load>>> byRegion = new HashMap<>();
    private final Map<String, Map<String, RegionStreamStats>> streamStatsByRegion = new HashMap<>();

    /**
     * Updates the load of a region from a report.
     *
     * @param region the region
     * @param service the service
     * @param urgency the urgency of the work that it is about
     * @param expectedMillis the expected time to an answer of its best target; infinite if none may be used
     * @param perTokenMillis the time that each further token of a prompt adds, spread over its targets
     * @param untilMillis when the report expires
     */
    public void update(
            String region,
            String service,
            Urgency urgency,
            double expectedMillis,
            double perTokenMillis,
            long untilMillis) {
        byRegion.computeIfAbsent(region, name -> new HashMap<>())
                .computeIfAbsent(service, name -> new EnumMap<>(Urgency.class))
                .put(urgency, new Load(expectedMillis, perTokenMillis, untilMillis));
    }

    /**
     * Updates the statistics of a region's streams from a report.
     *
     * @param region the region
     * @param service the service
     * @param streamStats the statistics of its streams
     */
    public void update(String region, String service, RegionStreamStats streamStats) {
        streamStatsByRegion.computeIfAbsent(region, name -> new HashMap<>()).put(service, streamStats);
    }

    /**
     * Returns the statistics of the streams of another region.
     *
     * @param region the region
     * @param service their service
     * @return the statistics that it reported last
     */
    public RegionStreamStats streamStats(String region, String service) {
        return streamStatsByRegion.getOrDefault(region, Map.of()).getOrDefault(service, RegionStreamStats.NONE);
    }

    /**
     * Estimates the time to an answer of another region, without the network round trip.
     *
     * @param region the region
     * @param service the service
     * @param urgency the urgency of the request
     * @param tokens the tokens of the prompt
     * @param nowMillis the time
     * @return milliseconds, or infinite if the region is not known to serve the service
     */
    public double expectedMillis(String region, String service, Urgency urgency, int tokens, long nowMillis) {
        Load load = loads(region, service).get(urgency);
        if (load == null || nowMillis > load.untilMillis) {
            return Double.POSITIVE_INFINITY;
        }
        return load.expectedMillis + load.addedMillis + tokens * load.perTokenMillis;
    }

    /**
     * Records a request that this host sends to a region. The other hosts of this host's region have the same report
     * and send as much, which is not reported before the next report. If only its own requests were counted, each of
     * thirty hosts would go on sending to the region that looked best; symptom: forwarded requests take many times as
     * long as expected.
     *
     * @param region the region
     * @param service the service
     * @param urgency the urgency of the request; it delays none that is more urgent
     * @param tokens the tokens of its prompt
     * @param hosts the number of hosts of this host's region, itself included
     */
    public void recordSent(String region, String service, Urgency urgency, int tokens, int hosts) {
        loads(region, service).forEach((other, load) -> {
            if (other.compareTo(urgency) >= 0) {
                load.addedMillis += Math.max(1, tokens) * load.perTokenMillis * Math.max(1, hosts);
            }
        });
    }

    /**
     * Records that a region rejected a request, as its load has changed since its report. Until it reports again, more
     * requests would be sent there and come back, each late by a network round trip.
     *
     * @param region the region
     * @param service the service
     * @param urgency the urgency of the request; more urgent ones may still be accepted
     */
    public void recordRejected(String region, String service, Urgency urgency) {
        loads(region, service).forEach((each, load) -> {
            if (each.compareTo(urgency) >= 0) {
                load.addedMillis = Double.POSITIVE_INFINITY;
            }
        });
    }

    private Map<Urgency, Load> loads(String region, String service) {
        Map<String, EnumMap<Urgency, Load>> byService = byRegion.get(region);
        EnumMap<Urgency, Load> byUrgency = byService == null ? null : byService.get(service);
        return byUrgency == null ? Map.of() : byUrgency;
    }

    private static final class Load {
        private final double expectedMillis;
        private final double perTokenMillis;
        private final long untilMillis;
        private double addedMillis;

        private Load(double expectedMillis, double perTokenMillis, long untilMillis) {
            this.expectedMillis = expectedMillis;
            this.perTokenMillis = perTokenMillis;
            this.untilMillis = untilMillis;
        }
    }
}
