package org.rattanplank.core.gateway;

import java.util.Objects;
import java.util.Set;

/**
 * Where a caller is and where its requests may go. Immutable and thread safe.
 *
 * @param region its region
 * @param dataCentre its data centre
 * @param homeRegions the regions that may serve all that it may ask for; empty if all may
 */
public record CallerPlace(String region, String dataCentre, Set<String> homeRegions) {
    public CallerPlace {
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        homeRegions = Set.copyOf(homeRegions);
    }

    boolean isHome(GatewayHost host) {
        String hostRegion = host.place().region();
        return hostRegion.equals(region) || homeRegions.isEmpty() || homeRegions.contains(hostRegion);
    }
}
