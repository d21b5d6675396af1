package org.rattanplank.core.host;

import java.util.List;

/**
 * The platform's host list, which lags behind the actual state. Immutable and thread safe.
 *
 * @param revision the list's revision, which increases with each change
 * @param hosts all listed hosts
 */
public record HostList(long revision, List<ListedHost> hosts) {
    public HostList {
        hosts = List.copyOf(hosts);
    }

    /**
     * Creates a list without hosts.
     *
     * @return the empty list
     */
    public static HostList empty() {
        return new HostList(0, List.of());
    }

    /**
     * Returns all targets.
     *
     * @return the listed targets
     */
    public List<ListedHost> targets() {
        return hosts.stream().filter(ListedHost::isTarget).toList();
    }

    /**
     * Returns all entry hosts.
     *
     * @return the listed entry hosts
     */
    public List<ListedHost> entryHosts() {
        return hosts.stream().filter(host -> !host.isTarget()).toList();
    }
}
