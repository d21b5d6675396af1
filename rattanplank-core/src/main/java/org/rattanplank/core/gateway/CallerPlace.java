package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Objects;

/**
 * Where a caller is and where its requests may go. Immutable and thread safe.
 *
 * @param region its region
 * @param dataCentre its data centre
 * @param homeRegions the regions that may serve part of what it may ask for, best first; empty if all may serve all
 * @param commonHomes those of them that may serve all of it
 */
public record CallerPlace(String region, String dataCentre, List<String> homeRegions, List<String> commonHomes) {
    public CallerPlace {
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        homeRegions = List.copyOf(homeRegions);
        commonHomes = List.copyOf(commonHomes);
    }

    /**
     * Makes the place of a caller whose requests all have the same homes.
     *
     * @param region its region
     * @param dataCentre its data centre
     * @param homeRegions the regions that may serve what it may ask for, best first; empty if all may serve all
     */
    public CallerPlace(String region, String dataCentre, List<String> homeRegions) {
        this(region, dataCentre, homeRegions, homeRegions);
    }
}
