package org.rattanplank.core.member;

import java.util.Map;

import org.rattanplank.core.route.RemoteRegion;

/**
 * The state report that a host sends to other hosts. Immutable and thread safe.
 *
 * @param generation the active configuration generation
 * @param draining whether it accepts no new work
 * @param inFlight requests without an outcome
 * @param services the load of each service in its region
 * @param storeReachable whether it recently read the platform's store
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
