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
 * The other hosts as they are seen at one moment. Immutable; its links are confined to the event loop.
 *
 * @param region the hosts of this host's region
 * @param takersByRegion the links to hosts of other regions that take work; no region is empty
 */
record PeersInTouch(RegionView region, Map<String, List<PeerLink>> takersByRegion) {
    /** Nothing is known. */
    static final PeersInTouch NONE = new PeersInTouch(new RegionView(Set.of(), false), Map.of());

    PeersInTouch {
        takersByRegion = Map.copyOf(takersByRegion);
    }

    static PeersInTouch of(GatewayHost self, PeerLinks links, boolean settled) {
        Set<String> names = new HashSet<>(links.enteredInOwnRegion());
        Set<String> inTouch = new HashSet<>();
        inTouch.add(self.name());
        Map<String, List<PeerLink>> takers = new HashMap<>();
        Map<String, List<PeerLink>> ending = new HashMap<>();
        for (PeerLink link : links.alive()) {
            GatewayHost host = link.host().get();
            String region = host.place().region();
            if (region.equals(self.place().region())) {
                inTouch.add(host.name());
            } else if (link.state().takesCallers()) {
                takers.computeIfAbsent(region, name -> new ArrayList<>()).add(link);
            } else if (link.state().isLastOfItsRegion()) {
                ending.computeIfAbsent(region, name -> new ArrayList<>()).add(link);
            }
        }
        // A host that is about to end is asked only where no other is left.
        ending.forEach(takers::putIfAbsent);
        boolean certain = settled && inTouch.containsAll(names);
        names.addAll(inTouch);
        return new PeersInTouch(new RegionView(names, certain), takers);
    }
}
