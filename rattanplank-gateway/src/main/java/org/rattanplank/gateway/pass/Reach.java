package org.rattanplank.gateway.pass;

import java.util.Map;
import java.util.Objects;

import org.rattanplank.core.gateway.Placement;
import org.rattanplank.gateway.peer.PeerLink;

/**
 * Where a request could go, and over which links. Immutable; its links are confined to the event loop.
 *
 * @param placement where it could go
 * @param hosts the host that would be asked in each other region, drawn at random
 */
record Reach(Placement placement, Map<String, PeerLink> hosts) {
    Reach {
        Objects.requireNonNull(placement, "placement");
        hosts = Map.copyOf(hosts);
    }
}
