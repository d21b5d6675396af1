package org.rattanplank.core.host;

import java.util.List;

/**
 * The platform's list of hosts, which lags. Immutable and thread safe.
 *
 * @param revision the list's revision, which grows with each change
 * @param hosts all listed hosts
 */
public record HostList(long revision, List<ListedHost> hosts) {
    public HostList {
        hosts = List.copyOf(hosts);
    }

    /**
     * Makes a list with no hosts.
     *
     * @return the empty list
     */
    public static HostList empty() {
        return new HostList(0, List.of());
    }

    /**
     * Finds all targets.
     *
     * @return the listed targets
     */
    public List<ListedHost> targets() {
        return hosts.stream().filter(ListedHost::isTarget).toList();
    }

    /**
     * Finds all entry hosts.
     *
     * @return the listed entry hosts
     */
    public List<ListedHost> entryHosts() {
        return hosts.stream().filter(host -> !host.isTarget()).toList();
    }
}
