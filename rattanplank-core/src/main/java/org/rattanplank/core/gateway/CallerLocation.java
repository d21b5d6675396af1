package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Objects;

/**
 * The location of a caller and the regions that may serve its requests. Immutable and thread safe.
 *
 * @param region its region
 * @param dataCentre its data centre
 * @param homeRegions the regions that may serve some of its requests, best first; empty if all may serve all
 * @param commonHomes those of them that may serve all of its requests
 */
public record CallerLocation(String region, String dataCentre, List<String> homeRegions, List<String> commonHomes) {
    public CallerLocation {
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        homeRegions = List.copyOf(homeRegions);
        commonHomes = List.copyOf(commonHomes);
    }

    /**
     * Creates the location of a caller whose requests all have the same home regions.
     *
     * @param region its region
     * @param dataCentre its data centre
     * @param homeRegions the regions that may serve its requests, best first; empty if all may serve all
     */
    public CallerLocation(String region, String dataCentre, List<String> homeRegions) {
        this(region, dataCentre, homeRegions, homeRegions);
    }
}
