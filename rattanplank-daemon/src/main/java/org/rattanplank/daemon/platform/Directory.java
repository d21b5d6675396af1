package org.rattanplank.daemon.platform;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.vavr.control.Option;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.ListedHost;

/**
 * Knows the addresses of hosts and targets by the newest list.
 *
 * <p>Invariant: a host that is no longer listed keeps its last address, since requests to it may be in flight. Thread
 * safe; readers see one whole list.
 */
public final class Directory {
    private volatile Map<String, ListedHost> hosts = Map.of();
    private volatile HostList list = HostList.empty();

    private Directory() {}

    /**
     * Makes a directory that knows no host.
     *
     * @return the directory
     */
    public static Directory empty() {
        return new Directory();
    }

    /**
     * Finds a host or target.
     *
     * @param name its name
     * @return how the platform lists it, or none
     */
    public Option<ListedHost> find(String name) {
        return Option.of(hosts.get(name));
    }

    /**
     * Finds the targets of a region that are listed now.
     *
     * @param region the region
     * @return the targets
     */
    public List<ListedHost> targetsOf(String region) {
        return list.targets().stream()
                .filter(target -> target.place().region().equals(region))
                .toList();
    }

    /**
     * Takes a newer list.
     *
     * @param newer the list
     */
    public synchronized void learn(HostList newer) {
        Map<String, ListedHost> merged = new java.util.HashMap<>(hosts);
        merged.putAll(newer.hosts().stream()
                .collect(Collectors.toMap(ListedHost::name, host -> host, (first, second) -> second)));
        hosts = Map.copyOf(merged);
        list = newer;
    }
}
