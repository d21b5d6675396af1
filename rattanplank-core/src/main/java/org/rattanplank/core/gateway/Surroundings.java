package org.rattanplank.core.gateway;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * A host's view of the cluster at one moment. Immutable and thread safe.
 *
 * @param ownRegion its region
 * @param hosts its view of the hosts of its region
 * @param wayMillis the network round trip to each other connected region
 * @param beyondShare the regions that are over their share of the work, and get more only if no other is left
 */
public record Surroundings(String ownRegion, RegionView hosts, Map<String, Double> wayMillis, Set<String> beyondShare) {
    public Surroundings {
        Objects.requireNonNull(ownRegion, "ownRegion");
        Objects.requireNonNull(hosts, "hosts");
        wayMillis = Map.copyOf(wayMillis);
        beyondShare = Set.copyOf(beyondShare);
    }
}
