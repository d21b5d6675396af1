package org.rattanplank.gateway.pass;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.RegionView;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.PeerLinks;

/**
 * A snapshot of the connected hosts. Immutable; its links are confined to the event loop.
 *
 * @param region the hosts of this host's region
 * @param acceptingLinksByRegion the links to hosts of other regions that accept requests; no list is empty
 */
record ConnectedPeers(RegionView region, Map<String, List<PeerLink>> acceptingLinksByRegion) {
    /** The snapshot before any host is known. */
    static final ConnectedPeers NONE = new ConnectedPeers(new RegionView(Set.of(), false), Map.of());

    ConnectedPeers {
        acceptingLinksByRegion = Map.copyOf(acceptingLinksByRegion);
    }

    static ConnectedPeers of(GatewayHost self, PeerLinks links, boolean startupOver) {
        Set<String> names = new HashSet<>(links.registeredInOwnRegion());
        Set<String> connected = new HashSet<>();
        connected.add(self.name());
        Map<String, List<PeerLink>> accepting = new HashMap<>();
        Map<String, List<PeerLink>> draining = new HashMap<>();
        for (PeerLink link : links.aliveLinks()) {
            GatewayHost host = link.host().get();
            String region = host.location().region();
            if (region.equals(self.location().region())) {
                connected.add(host.name());
            } else if (link.state().acceptsCallers()) {
                accepting.computeIfAbsent(region, name -> new ArrayList<>()).add(link);
            } else if (link.state().isLastOfRegion()) {
                draining.computeIfAbsent(region, name -> new ArrayList<>()).add(link);
            }
        }
        // A host that is draining is used only if its region has no other.
        draining.forEach(accepting::putIfAbsent);
        boolean complete = startupOver && connected.containsAll(names);
        names.addAll(connected);
        return new ConnectedPeers(new RegionView(names, complete), accepting);
    }
}
