package org.rattanplank.core.member;

import java.util.List;
import java.util.Set;

/**
 * The entry hosts that a host can learn from. Immutable and thread safe.
 *
 * @param listed the other hosts of the own data centre that the platform lists and that are not leaving
 * @param live the other hosts of the own data centre that live, in the order of their names
 * @param remote the hosts of other data centres to which a link is up, in the order of their names
 */
public record PeerView(Set<String> listed, List<LocalPeer> live, List<String> remote) {
    public PeerView {
        listed = Set.copyOf(listed);
        live = List.copyOf(live);
        remote = List.copyOf(remote);
    }

    /**
     * Makes a view without peers.
     *
     * @return the empty view
     */
    public static PeerView empty() {
        return new PeerView(Set.of(), List.of(), List.of());
    }
}
