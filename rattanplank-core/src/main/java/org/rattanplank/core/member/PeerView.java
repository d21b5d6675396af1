package org.rattanplank.core.member;

import java.util.List;
import java.util.Set;

/**
 * The entry hosts that a host can receive state from. Immutable and thread safe.
 *
 * @param listed the other hosts of the local data centre that are in the host list and not leaving
 * @param live the other live hosts of the local data centre, ordered by name
 * @param remote the connected hosts of other data centres, ordered by name
 */
public record PeerView(Set<String> listed, List<LocalPeer> live, List<String> remote) {
    public PeerView {
        listed = Set.copyOf(listed);
        live = List.copyOf(live);
        remote = List.copyOf(remote);
    }

    /**
     * Creates a view without peers.
     *
     * @return the empty view
     */
    public static PeerView empty() {
        return new PeerView(Set.of(), List.of(), List.of());
    }
}
