package org.rattanplank.core.gateway;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * A host's view of the cluster at one moment. Immutable and thread safe.
 *
 * @param ownRegion its region
 * @param regionView its view of the hosts of its region
 * @param roundTripMillis the network round trip to each other connected region
 * @param overShare the regions that are over their share of the work, and get more only if no other is left
 */
public record ClusterView(
        String ownRegion, RegionView regionView, Map<String, Double> roundTripMillis, Set<String> overShare) {
    public ClusterView {
        Objects.requireNonNull(ownRegion, "ownRegion");
        Objects.requireNonNull(regionView, "hosts");
        roundTripMillis = Map.copyOf(roundTripMillis);
        overShare = Set.copyOf(overShare);
    }
}
