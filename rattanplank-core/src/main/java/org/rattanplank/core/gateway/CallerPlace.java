package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Objects;

/**
 * Where a caller is and where its requests may go. Immutable and thread safe.
 *
 * @param region its region
 * @param dataCentre its data centre
 * @param homeRegions the regions that may serve what it may ask for, best first; empty if all may serve all
 */
public record CallerPlace(String region, String dataCentre, List<String> homeRegions) {
    public CallerPlace {
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        homeRegions = List.copyOf(homeRegions);
    }
}
