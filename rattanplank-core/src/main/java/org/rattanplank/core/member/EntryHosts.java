package org.rattanplank.core.member;

import java.util.List;

/**
 * Which entry hosts a caller should use. Immutable and thread safe.
 *
 * @param hosts the hosts, best first
 * @param ttlMillis how long the caller may use the list before it asks again
 */
public record EntryHosts(List<EntryHost> hosts, long ttlMillis) {
    public EntryHosts {
        hosts = List.copyOf(hosts);
    }
}
