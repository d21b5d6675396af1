package org.rattanplank.core.gateway;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * How soon other regions are expected to answer, as their hosts report it.
 *
 * <p>Invariant: a report counts for a while only, and what this host has sent there since is added to it. Confined to
 * its owner's thread.
 */
public final class RegionLoads {
    /** A region not heard of for so long, beyond the time between its reports, is taken to be out of reach. */
    public static final long REPORT_MILLIS = 3_000;

    private final Map<String, Map<String, EnumMap<Urgency, Load>>> byRegion = new HashMap<>();
    private final Map<String, Map<String, RegionStreams>> streamStatsByRegion = new HashMap<>();

    /**
     * Takes a report.
     *
     * @param region the region
     * @param service the service
     * @param urgency the urgency of the work that it is about
     * @param expectedMillis the time to an answer that its best target is expected to take; infinite if none may be used
     * @param perTokenMillis how much each further token of a prompt adds, spread over its targets
     * @param untilMillis until when the report counts
     */
    public void reported(
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
     * Takes a report of a region's streams.
     *
     * @param region the region
     * @param service the service
     * @param streams how its streams get on
     */
    public void reported(String region, String service, RegionStreams streams) {
        streamStatsByRegion.computeIfAbsent(region, name -> new HashMap<>()).put(service, streams);
    }

    /**
     * How streams get on in another region.
     *
     * @param region the region
     * @param service their service
     * @return what it reported last
     */
    public RegionStreams streams(String region, String service) {
        return streamStatsByRegion.getOrDefault(region, Map.of()).getOrDefault(service, RegionStreams.NONE);
    }

    /**
     * Expects the time to an answer of another region, without the way there.
     *
     * @param region the region
     * @param service the service
     * @param urgency how urgent the request is
     * @param tokens the tokens of the prompt
     * @param nowMillis the time
     * @return milliseconds, or infinite if the region is not known to serve it
     */
    public double expectedMillis(String region, String service, Urgency urgency, int tokens, long nowMillis) {
        Load load = loads(region, service).get(urgency);
        if (load == null || nowMillis > load.untilMillis) {
            return Double.POSITIVE_INFINITY;
        }
        return load.expectedMillis + load.addedMillis + tokens * load.perTokenMillis;
    }

    /**
     * Takes note of a request that this host sends there. The other hosts of its region have the same report and send as
     * much; what they send is not told before the next report. Counting its own alone, each of thirty hosts would go on
     * sending to the region that looked best, and one would see forwards that arrive at many times what was expected.
     *
     * @param region the region
     * @param service the service
     * @param urgency how urgent it is; it delays none that is more urgent
     * @param tokens the tokens of its prompt
     * @param hosts the hosts of this host's region, itself included
     */
    public void sent(String region, String service, Urgency urgency, int tokens, int hosts) {
        loads(region, service).forEach((other, load) -> {
            if (other.compareTo(urgency) >= 0) {
                load.addedMillis += Math.max(1, tokens) * load.perTokenMillis * Math.max(1, hosts);
            }
        });
    }

    /**
     * Takes note that a region refused a request: its load has changed since it was reported. Until it reports again,
     * more requests would go there and come back, each a crossing of the distance late.
     *
     * @param region the region
     * @param service the service
     * @param urgency how urgent the request was; a more urgent one may be welcome
     */
    public void refused(String region, String service, Urgency urgency) {
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
