package org.rattanplank.core.member;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;

import io.vavr.control.Option;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Place;
import org.rattanplank.core.route.RemoteRegion;
import org.rattanplank.schema.message.MemberMessage;

/**
 * Knows which hosts and targets are there, which are leaving, and which entry hosts callers should use.
 *
 * <p>Invariant: nothing that must be safe rests on what this class suspects; it only steers. A host or target that was
 * leaving once stays so under its name until the list shows it anew. Thread safe; one lock guards all state, and no
 * other lock is taken while it is held.
 */
public final class Members {
    private static final long TTL_MILLIS = 2_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final NodeIdentity self;
    private final Map<String, Place> connected = new TreeMap<>();
    private final Set<String> leaving = new HashSet<>();
    private HostList list = HostList.empty();

    private Members(NodeIdentity self) {
        this.self = self;
    }

    /**
     * Makes the membership of a host that knows no other.
     *
     * @param self the host
     * @return the membership
     */
    public static Members of(NodeIdentity self) {
        return new Members(self);
    }

    /**
     * Takes the platform's list of hosts.
     *
     * @param newer the list
     * @param nowMillis the time
     * @return what to do
     */
    public List<MemberStep> listed(HostList newer, long nowMillis) {
        lock.lock();
        try {
            list = newer;
            List<String> links = list.entryHosts().stream()
                    .map(ListedHost::name)
                    .filter(name -> !name.equals(self.host()))
                    .toList();
            return List.of(new MemberStep.KeepLinks(links));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes note that a link to a host is up.
     *
     * @param host the host
     * @param incarnation the other process's start time
     * @param place where it stands
     * @param nowMillis the time
     * @return what to do
     */
    public List<MemberStep> connected(String host, long incarnation, Place place, long nowMillis) {
        lock.lock();
        try {
            connected.put(host, place);
            return List.of();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes note that a link to a host broke.
     *
     * @param host the host
     * @param refused whether its address refused the connection
     * @param nowMillis the time
     * @return what to do
     */
    public List<MemberStep> lost(String host, boolean refused, long nowMillis) {
        lock.lock();
        try {
            connected.remove(host);
            return List.of();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes a message of another host.
     *
     * @param host the other host
     * @param incarnation the other process's start time
     * @param message the message
     * @param nowMillis the time
     * @return what to do
     */
    public List<MemberStep> receive(String host, long incarnation, MemberMessage message, long nowMillis) {
        return List.of();
    }

    /**
     * Takes word that a host or target is leaving; this cannot be taken back.
     *
     * @param name the host or target
     * @param nowMillis the time
     */
    public void leaving(String name, long nowMillis) {
        lock.lock();
        try {
            leaving.add(name);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Lets time pass.
     *
     * @param report what to tell the others
     * @param nowMillis the time
     * @return what to do
     */
    public List<MemberStep> tick(SelfReport report, long nowMillis) {
        return List.of();
    }

    /**
     * Finds the targets of this host's region that take work.
     *
     * @return the targets
     */
    public List<ListedHost> targetsTakingWork() {
        lock.lock();
        try {
            return list.targets().stream()
                    .filter(target ->
                            target.place().region().equals(self.place().region()))
                    .filter(target -> !target.leaving() && !leaving.contains(target.name()))
                    .toList();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Finds what is known of the other regions.
     *
     * @return the other regions with the hosts that can be reached
     */
    public List<RemoteRegion> remoteRegions() {
        lock.lock();
        try {
            Map<String, List<String>> hosts = new TreeMap<>();
            connected.forEach((host, place) -> {
                if (!place.region().equals(self.place().region())) {
                    hosts.computeIfAbsent(place.region(), region -> new ArrayList<>())
                            .add(host);
                }
            });
            List<RemoteRegion> regions = new ArrayList<>();
            hosts.forEach((region, names) -> regions.add(new RemoteRegion(region, names, Map.of())));
            return regions;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Finds the hosts of a data centre that can be reached and take new work, best first.
     *
     * @param dataCentre the data centre
     * @return the names of the hosts
     */
    public List<String> reachable(String dataCentre) {
        lock.lock();
        try {
            return connected.entrySet().stream()
                    .filter(entry -> entry.getValue().dataCentre().equals(dataCentre))
                    .map(Map.Entry::getKey)
                    .filter(host -> !leaving.contains(host))
                    .toList();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Finds the region in which a host stands.
     *
     * @param host the host
     * @return its region, or none if no link to it is up
     */
    public Option<String> regionOf(String host) {
        lock.lock();
        try {
            return Option.of(connected.get(host)).map(Place::region);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Tells callers which entry hosts to use.
     *
     * @param account the caller's account
     * @param homeDataCentre the account's home data centre
     * @param nowMillis the time
     * @return the hosts, those of the home data centre first
     */
    public EntryHosts entryHosts(String account, String homeDataCentre, long nowMillis) {
        lock.lock();
        try {
            List<EntryHost> home = new ArrayList<>();
            List<EntryHost> away = new ArrayList<>();
            for (ListedHost host : list.entryHosts()) {
                if (host.leaving() || leaving.contains(host.name())) {
                    continue;
                }
                boolean atHome = host.place().dataCentre().equals(homeDataCentre);
                (atHome ? home : away)
                        .add(new EntryHost(
                                host.name(),
                                host.place().region(),
                                host.place().dataCentre(),
                                host.address(),
                                host.port()));
            }
            home.addAll(away);
            return new EntryHosts(home, TTL_MILLIS);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Finds everything that is known to be leaving.
     *
     * @return the names of hosts and targets
     */
    public Set<String> leaving() {
        lock.lock();
        try {
            return Set.copyOf(leaving);
        } finally {
            lock.unlock();
        }
    }
}
