package org.rattanplank.core.host;

import java.util.Objects;

/**
 * The region and data centre of a host. Immutable and thread safe; neither name is empty.
 *
 * @param region the region's name
 * @param dataCentre the data centre's name, unique over all regions
 */
public record Location(String region, String dataCentre) {
    public Location {
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        if (region.isEmpty() || dataCentre.isEmpty()) {
            throw new IllegalArgumentException("a location needs a region and a data centre");
        }
    }

    /**
     * Creates a location.
     *
     * @param region the region's name
     * @param dataCentre the data centre's name
     * @return the location
     */
    public static Location of(String region, String dataCentre) {
        return new Location(region, dataCentre);
    }
}
