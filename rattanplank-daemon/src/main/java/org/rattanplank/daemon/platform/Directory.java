package org.rattanplank.daemon.platform;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.vavr.control.Option;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.ListedHost;

/**
 * Resolves the addresses of hosts and targets from the latest host list.
 *
 * <p>Invariant: a host that is no longer listed keeps its last address, since requests to it may be in flight. Thread
 * safe: each lookup reads one consistent list.
 */
public final class Directory {
    private volatile Map<String, ListedHost> hosts = Map.of();
    private volatile HostList list = HostList.empty();

    private Directory() {}

    /**
     * Creates a directory without hosts.
     *
     * @return the directory
     */
    public static Directory empty() {
        return new Directory();
    }

    /**
     * Finds a host or target by name.
     *
     * @param name its name
     * @return its entry in the host list, or none
     */
    public Option<ListedHost> find(String name) {
        return Option.of(hosts.get(name));
    }

    /**
     * Returns the targets of a region in the latest host list.
     *
     * @param region the region
     * @return the targets
     */
    public List<ListedHost> targetsInRegion(String region) {
        return list.targets().stream()
                .filter(target -> target.location().region().equals(region))
                .toList();
    }

    /**
     * Replaces the host list by a newer one.
     *
     * @param newer the newer list
     */
    public synchronized void update(HostList newer) {
        Map<String, ListedHost> merged = new java.util.HashMap<>(hosts);
        merged.putAll(newer.hosts().stream()
                .collect(Collectors.toMap(ListedHost::name, host -> host, (first, second) -> second)));
        hosts = Map.copyOf(merged);
        list = newer;
    }
}
