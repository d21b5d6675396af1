package org.rattanplank.core.gateway;

import java.util.HashSet;
import java.util.Set;

import org.rattanplank.core.host.Rendezvous;

/**
 * How long a host that could tell another one what it lacks waits, so that others go first.
 *
 * <p>The pattern it answers is a host that starts while nobody is answered by the store: each of thirty hosts would tell it
 * everything at the same moment, some 3 MB over a link that takes 2.4 s for them. In turn, the first one that lives tells
 * it, and the others see by its next word that it knows. Stateless and thread safe.
 */
public final class HelpOrder {
    /** A host that was told says so within its next state, at most half a second later in a large region. */
    static final long STAGGER_MILLIS = 300;

    private HelpOrder() {}

    /**
     * How long to wait.
     *
     * @param hosts the hosts that could tell it, as far as known
     * @param self this host
     * @param other the host that lacks something
     * @return milliseconds; none for the host whose turn is first
     */
    public static long waitMillis(Set<String> hosts, String self, String other) {
        Set<String> helpers = new HashSet<>(hosts);
        helpers.add(self);
        helpers.remove(other);
        return STAGGER_MILLIS * Rendezvous.rank(helpers, other).indexOf(self);
    }
}
