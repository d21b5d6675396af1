package org.rattanplank.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.PeerLinks;
import org.rattanplank.gateway.store.StoreItem;

/**
 * Passes on changes of the store to the hosts of the region that don't ask it, or are turned away by it.
 *
 * <p>The pattern it answers is a large item that is written again and again: a configuration of a thousand routes takes a
 * third of a second of a link of 10 Mbit/s to each of thirty hosts. Passed on at each change, the versions would queue up on
 * the links, and requests and signs of life behind them; one would see hosts lose each other, and all kinds of requests late
 * or without an answer. So a host gets the next changes only when the last ones have left, and of each key the newest alone.
 * Invariant: what waits for a host is its newest change of each key. Confined to the event loop.
 */
final class StoreRelay {
    private final GatewayState state;
    private final PeerLinks links;
    private final Map<PeerLink, Map<String, StoreItem>> waiting = new HashMap<>();
    private final Map<String, StoreItem> changes = new LinkedHashMap<>();

    StoreRelay(GatewayState state, PeerLinks links) {
        this.state = state;
        this.links = links;
    }

    /** Takes note of an item that was learnt. */
    void learnt(StoreItem item) {
        changes.put(item.key(), item);
    }

    /** Forgets what waits for a host that is out of touch. */
    void lost(PeerLink link) {
        waiting.remove(link);
    }

    /** Sends what may go. */
    void tick(List<PeerLink> alive) {
        List<PeerLink> together = new ArrayList<>();
        for (PeerLink link : alive) {
            boolean wasWaiting = waiting.containsKey(link);
            if (needsChanges(link) && !changes.isEmpty()) {
                if (wasWaiting || link.waitingBytes() > 0) {
                    waiting.computeIfAbsent(link, each -> new LinkedHashMap<>()).putAll(changes);
                } else {
                    together.add(link);
                }
            }
            if (wasWaiting && link.waitingBytes() == 0) {
                link.send(frame(waiting.remove(link)));
            }
        }
        if (!together.isEmpty()) {
            links.sendAll(frame(changes), together);
        }
        changes.clear();
    }

    private PeerFrame.StoreItems frame(Map<String, StoreItem> items) {
        long lenientMillis = state.pool().lenientMillis(state.nowMillis());
        return new PeerFrame.StoreItems(0, lenientMillis, List.copyOf(items.values()));
    }

    /**
     * Whether a host should be told changes. One that the store turns away asks it in vain; told only when it is found to
     * lack something, it would get all of the store once a second for as long as anything changes.
     */
    private boolean needsChanges(PeerLink link) {
        PeerFrame.State peer = link.state();
        return state.isOwnRegion(link) && (!peer.followsStore() || !peer.storeHealthy());
    }
}
