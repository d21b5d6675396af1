package org.rattanplank.core.member;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.rattanplank.core.host.Location;
import org.rattanplank.core.route.RemoteRegion;
import org.rattanplank.schema.message.LeavingNotice;
import org.rattanplank.schema.message.RegionSummary;

/** Creates and parses the bounded summaries that data centres exchange. Stateless and thread safe. */
final class RegionSummaries {
    static final int MAX_HOSTS = 64;
    static final int MAX_SERVICES = 64;
    static final int MAX_LEAVING_NOTICES = 32;

    private static final int LOAD_FIELDS = 4;

    private RegionSummaries() {}

    static RegionSummary of(
            Location location,
            long generation,
            Collection<String> hosts,
            SelfReport report,
            List<LeavingNotice> leaving) {
        Map<String, List<Long>> services = new LinkedHashMap<>();
        new TreeMap<>(report.services()).forEach((name, load) -> {
            if (services.size() < MAX_SERVICES && load.targets() > 0) {
                services.put(name, List.of((long) load.targets(), (long) load.slots(), (long) load.running(), (long)
                        load.queued()));
            }
        });
        List<String> names = hosts.stream().sorted().limit(MAX_HOSTS).toList();
        return new RegionSummary(location.region(), location.dataCentre(), generation, names, services, leaving);
    }

    /**
     * Returns the summary without services, for data centres of the same region, which poll the same targets
     * themselves.
     */
    static RegionSummary withoutServices(RegionSummary summary) {
        return new RegionSummary(
                summary.region(),
                summary.dataCentre(),
                summary.generation(),
                summary.hosts(),
                Map.of(),
                summary.leaving());
    }

    /** Returns whether two summaries differ in anything but load. */
    static boolean differBeyondLoad(RegionSummary one, RegionSummary other) {
        return !withoutServices(one).equals(withoutServices(other))
                || !one.services().keySet().equals(other.services().keySet());
    }

    static Map<String, RemoteRegion.ServiceLoad> parseLoads(RegionSummary summary, long atMillis) {
        Map<String, RemoteRegion.ServiceLoad> loads = new TreeMap<>();
        summary.services().forEach((name, load) -> {
            if (load.size() >= LOAD_FIELDS) {
                loads.put(
                        name,
                        new RemoteRegion.ServiceLoad(
                                load.get(0).intValue(),
                                load.get(1).intValue(),
                                load.get(2).intValue(),
                                load.get(3).intValue(),
                                atMillis));
            }
        });
        return loads;
    }
}
