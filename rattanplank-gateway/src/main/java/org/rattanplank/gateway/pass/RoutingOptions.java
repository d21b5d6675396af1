package org.rattanplank.gateway.pass;

import java.util.Map;
import java.util.Objects;

import org.rattanplank.core.gateway.Placement;
import org.rattanplank.gateway.peer.PeerLink;

/**
 * Where a request could be sent, and over which links. Immutable; its links are confined to the event loop.
 *
 * @param placement the placement candidates
 * @param linksByRegion one link to a randomly drawn host of each other region
 */
record RoutingOptions(Placement placement, Map<String, PeerLink> linksByRegion) {
    RoutingOptions {
        Objects.requireNonNull(placement, "placement");
        linksByRegion = Map.copyOf(linksByRegion);
    }
}
