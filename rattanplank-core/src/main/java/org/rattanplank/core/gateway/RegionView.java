package org.rattanplank.core.gateway;

import java.util.Set;

/**
 * A host's view of the hosts of its region. Immutable and thread safe.
 *
 * @param hosts their names, its own included: those connected and those registered in the store
 * @param complete whether these are definitely all of them: each is connected, and this host has run long enough to know
 */
public record RegionView(Set<String> hosts, boolean complete) {
    public RegionView {
        hosts = Set.copyOf(hosts);
    }

    /**
     * Creates a complete view.
     *
     * @param hosts the names of all hosts of the region
     * @return the view
     */
    public static RegionView complete(Set<String> hosts) {
        return new RegionView(hosts, true);
    }
}
