package org.rattanplank.core.member;

import java.util.List;

/**
 * The entry hosts that a caller should use. Immutable and thread safe.
 *
 * @param hosts the hosts, best first
 * @param ttlMillis how long the caller may use the list before it requests it again
 */
public record EntryHosts(List<EntryHost> hosts, long ttlMillis) {
    public EntryHosts {
        hosts = List.copyOf(hosts);
    }
}
