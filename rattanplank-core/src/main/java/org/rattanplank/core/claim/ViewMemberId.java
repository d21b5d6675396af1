package org.rattanplank.core.claim;

import java.util.Objects;

/**
 * Identifies one process that replicates claims. Immutable and thread safe.
 *
 * @param host the name of the host
 * @param incarnation the start time of the process; a later process of the same host has a higher one
 */
record ViewMemberId(String host, long incarnation) implements Comparable<ViewMemberId> {
    ViewMemberId {
        Objects.requireNonNull(host, "host");
    }

    @Override
    public int compareTo(ViewMemberId other) {
        int byHost = host.compareTo(other.host);
        return byHost != 0 ? byHost : Long.compare(incarnation, other.incarnation);
    }
}
