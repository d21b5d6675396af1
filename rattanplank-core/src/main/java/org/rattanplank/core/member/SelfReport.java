package org.rattanplank.core.member;

import java.util.Map;

import org.rattanplank.core.route.RemoteRegion;

/**
 * What a host tells the others of itself. Immutable and thread safe.
 *
 * @param generation the configuration generation in force
 * @param draining whether it takes no new work
 * @param inFlight requests without an outcome
 * @param services the load of its region's services
 * @param storeReachable whether it read the platform's store lately
 */
public record SelfReport(
        long generation,
        boolean draining,
        int inFlight,
        Map<String, RemoteRegion.ServiceLoad> services,
        boolean storeReachable) {
    public SelfReport {
        services = Map.copyOf(services);
    }
}
