package org.rattanplank.core.route;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * What this host knows of another region. Immutable and thread safe.
 *
 * @param region the region's name
 * @param hosts its entry hosts that can be reached
 * @param services the load of its services by name
 */
public record RemoteRegion(String region, List<String> hosts, Map<String, ServiceLoad> services) {
    public RemoteRegion {
        Objects.requireNonNull(region, "region");
        hosts = List.copyOf(hosts);
        services = Map.copyOf(services);
    }

    /**
     * The load of one service in one region.
     *
     * @param targets how many targets take work
     * @param slots how many requests they run at once without slowing each other much
     * @param running requests that run
     * @param queued requests that wait
     * @param reportedAtMillis when this was summed up, on this host's clock
     */
    public record ServiceLoad(int targets, int slots, int running, int queued, long reportedAtMillis) {}
}
