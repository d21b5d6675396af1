package org.rattanplank.core.gateway;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * What a host sees around it at one moment. Immutable and thread safe.
 *
 * @param ownRegion its region
 * @param hosts the hosts of its region
 * @param wayMillis for each other region in touch, how long a question and its answer take on the way
 * @param beyondShare the regions that have had their share of the work, and get more only if nothing else is left
 */
public record Surroundings(String ownRegion, RegionView hosts, Map<String, Double> wayMillis, Set<String> beyondShare) {
    public Surroundings {
        Objects.requireNonNull(ownRegion, "ownRegion");
        Objects.requireNonNull(hosts, "hosts");
        wayMillis = Map.copyOf(wayMillis);
        beyondShare = Set.copyOf(beyondShare);
    }
}
