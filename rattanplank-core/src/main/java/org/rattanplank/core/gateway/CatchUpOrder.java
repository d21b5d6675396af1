package org.rattanplank.core.gateway;

import java.util.HashSet;
import java.util.Set;

import org.rattanplank.core.host.RendezvousHashing;

/**
 * Staggers the hosts that could send a host the store contents it lacks.
 *
 * <p>It guards against a simultaneous catch-up: when a host starts while the store is unavailable, each of thirty hosts
 * would send it everything at the same moment, some 3 MB over a link that takes 2.4 s for them. Staggered, the first
 * live host sends it, and the others see from its next state report that it has caught up. Stateless and thread safe.
 */
public final class CatchUpOrder {
    /**
     * A host that has caught up reports it within its next state report, at most half a second later in a large region.
     */
    static final long STAGGER_MILLIS = 300;

    private CatchUpOrder() {}

    /**
     * Returns how long a host waits before it sends.
     *
     * @param hosts the known hosts that could send
     * @param self this host
     * @param other the host that lacks store contents
     * @return milliseconds; zero for the first host
     */
    public static long delayMillis(Set<String> hosts, String self, String other) {
        Set<String> senders = new HashSet<>(hosts);
        senders.add(self);
        senders.remove(other);
        return STAGGER_MILLIS * RendezvousHashing.rank(senders, other).indexOf(self);
    }
}
