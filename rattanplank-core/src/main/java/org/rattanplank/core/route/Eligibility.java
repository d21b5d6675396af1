package org.rattanplank.core.route;

import java.util.Set;

/**
 * The constraints on a request's destination; only destinations that satisfy them are scored. Immutable and thread
 * safe.
 *
 * @param allowedRegions the regions to which the request's residency allows its data to go
 * @param mayLeaveRegion whether the request may be forwarded to an entry host of another region
 * @param triedPeers targets and hosts that the request has already been sent to
 */
public record Eligibility(Set<String> allowedRegions, boolean mayLeaveRegion, Set<String> triedPeers) {
    public Eligibility {
        allowedRegions = Set.copyOf(allowedRegions);
        triedPeers = Set.copyOf(triedPeers);
    }
}
