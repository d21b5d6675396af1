package org.rattanplank.core.route;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The last known state of another region. Immutable and thread safe.
 *
 * @param region the region's name
 * @param hosts its reachable entry hosts
 * @param services the load of its services, by service name
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
     * @param targets the number of targets that accept requests
     * @param slots the number of requests that these targets run concurrently without slowing each other much
     * @param running the number of running requests
     * @param queued the number of queued requests
     * @param reportedAtMillis when the summary was made, on this host's clock
     */
    public record ServiceLoad(int targets, int slots, int running, int queued, long reportedAtMillis) {}
}
