package org.rattanplank.core.route;

import java.util.Set;

/**
 * Where a request may go at all; scores never see anything else. Immutable and thread safe.
 *
 * @param allowedRegions the regions in which the request's data may be served
 * @param mayCross whether the request may still go to another region's entry host
 * @param triedPeers targets and hosts that have had the request already
 */
public record Eligibility(Set<String> allowedRegions, boolean mayCross, Set<String> triedPeers) {
    public Eligibility {
        allowedRegions = Set.copyOf(allowedRegions);
        triedPeers = Set.copyOf(triedPeers);
    }
}
