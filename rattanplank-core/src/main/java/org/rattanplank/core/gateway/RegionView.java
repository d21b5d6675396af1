package org.rattanplank.core.gateway;

import java.util.Set;

/**
 * The hosts of this host's region, as it sees them. Immutable and thread safe.
 *
 * @param hosts their names, this one's included: those in touch and those that are entered in the store
 * @param certain whether this is surely all of them: each is in touch, and this host has run long enough to know
 */
public record RegionView(Set<String> hosts, boolean certain) {
    public RegionView {
        hosts = Set.copyOf(hosts);
    }

    /**
     * Makes the view of a host that surely knows all others.
     *
     * @param hosts the names of all hosts of the region
     * @return the view
     */
    public static RegionView certain(Set<String> hosts) {
        return new RegionView(hosts, true);
    }
}
