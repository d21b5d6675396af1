package org.rattanplank.core.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

import io.vavr.control.Option;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.host.RendezvousHashing;
import org.rattanplank.core.route.RemoteRegion;
import org.rattanplank.schema.message.CentreBeat;
import org.rattanplank.schema.message.Heartbeat;
import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.LeavingNews;
import org.rattanplank.schema.message.LeavingNotice;
import org.rattanplank.schema.message.MemberMessage;
import org.rattanplank.schema.message.RegionSummary;

/**
 * Tracks which hosts and targets are available, which are leaving, and which entry hosts callers should use.
 *
 * <p>Inside a data centre every host sends heartbeats to every other host. Other data centres are represented by
 * bounded summaries that a few representatives exchange and relay, so that a host's traffic grows with the size of its
 * data centre and the number of data centres, not with the size of the fleet.
 *
 * <p>Invariant: no safety property depends on the failure detection of this class; it only guides routing. A host or
 * target that was reported as leaving stays leaving under its name until a newer incarnation of it is observed. Thread
 * safe; one lock guards all state, and no other lock is taken while it is held.
 */
public final class Membership {
    private static final long ENTRY_HOSTS_TTL_MILLIS = 2_000;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final long STARTUP_GRACE_MILLIS = 3_000;
    private static final long DISCONNECTED_EXCLUSION_MILLIS = 3_000;
    private static final long OLDER_LIST_REJECTION_MILLIS = 30_000;
    private static final long REGIONS_REFRESH_MILLIS = 1_000;
    private static final int MAX_LEAVING_NOTICES = 256;
    private static final int CONTROLLER_CANDIDATES = 2;

    private final ReentrantLock lock = new ReentrantLock();
    private final NodeIdentity self;
    private final PeerTable peers;
    private final RemoteDataCentres remoteDataCentres;
    private final LeavingRegistry leavingRegistry = new LeavingRegistry();
    private final Map<String, ListedHost> listedEntryHosts = new TreeMap<>();
    private final List<LeavingNotice> unsentNotices = new ArrayList<>();
    private HostList hostList = HostList.empty();
    private long hostListMillis;
    private boolean draining;
    private Heartbeat lastHeartbeat = new Heartbeat(0, 0, false, 0, false, List.of());
    private List<String> requestedLinks = List.of();
    private Option<List<RemoteRegion>> regions = Option.none();
    private long regionsMillis;
    private Option<Long> startMillis = Option.none();
    private long nowMillis;

    private Membership(NodeIdentity self) {
        this.self = self;
        peers = new PeerTable(self.location().dataCentre());
        remoteDataCentres = new RemoteDataCentres(self);
    }

    /**
     * Creates the membership of a host that knows no other host.
     *
     * @param self the host
     * @return the membership
     */
    public static Membership of(NodeIdentity self) {
        return new Membership(self);
    }

    /**
     * Applies the platform's host list, or a list from the settings with revision zero.
     *
     * @param newList the host list
     * @param atMillis the time
     * @return the actions to perform
     */
    public List<MemberAction> updateHostList(HostList newList, long atMillis) {
        return update(atMillis, () -> {
            // A lagging member of the platform may return an older list after a newer one, and replaced hosts would
            // reappear for a while. An older list is accepted only after no newer one has arrived for some time,
            // because the platform may have been reinstalled.
            boolean isOlder = newList.revision() < hostList.revision();
            if (isOlder && atMillis - hostListMillis < OLDER_LIST_REJECTION_MILLIS) {
                return List.of();
            }
            hostList = newList;
            hostListMillis = atMillis;
            listedEntryHosts.clear();
            hostList.entryHosts().forEach(host -> listedEntryHosts.put(host.name(), host));
            leavingRegistry.updateHostList(hostList, atMillis);
            hostList.hosts().stream()
                    .filter(ListedHost::leaving)
                    .forEach(host -> recordLocalLeaving(host.name(), atMillis));
            remoteDataCentres.updateHostList(hostList);
            refresh();
            return List.of(keepLinks(chooseRemoteHosts()));
        });
    }

    /**
     * Records that a link to a host is up.
     *
     * @param host the host
     * @param incarnation the start time of the other process
     * @param location the host's location
     * @param atMillis the time
     * @return the actions to perform
     */
    public List<MemberAction> connected(String host, long incarnation, Location location, long atMillis) {
        return update(atMillis, () -> {
            Option<Peer> sender = recordMessage(host, incarnation, location);
            if (sender.isEmpty()) {
                return List.of();
            }
            Peer peer = sender.get();
            peer.connected = true;
            peer.heartbeatSentMillis = Long.MIN_VALUE / 2;
            refresh();
            return peers.isLocal(peer) ? sendInitialState(host) : List.of();
        });
    }

    /**
     * Records that a link to a host was disconnected.
     *
     * @param host the host
     * @param connectionRefused whether its address refused the connection
     * @param atMillis the time
     * @return the actions to perform
     */
    public List<MemberAction> disconnected(String host, boolean connectionRefused, long atMillis) {
        return update(atMillis, () -> {
            peers.disconnected(host, connectionRefused, atMillis);
            remoteDataCentres.disconnected(host);
            refresh();
            return List.of();
        });
    }

    /**
     * Handles a message from another host.
     *
     * @param host the other host
     * @param incarnation the start time of the other process
     * @param message the message
     * @param atMillis the time
     * @return the actions to perform
     */
    public List<MemberAction> receive(String host, long incarnation, MemberMessage message, long atMillis) {
        return update(atMillis, () -> {
            Option<Location> location = locationOf(host).orElse(() -> locationIn(message));
            Option<Peer> sender = location.flatMap(known -> recordMessage(host, incarnation, known));
            return sender.map(peer -> receive(peer, message)).getOrElse(List.of());
        });
    }

    private List<MemberAction> receive(Peer peer, MemberMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            return receive(peer, heartbeat);
        }
        if (message instanceof CentreBeat heartbeat) {
            return List.of(new MemberAction.GenerationReported(peer.host, heartbeat.generation()));
        }
        if (message instanceof LeavingNews news) {
            news.notices().forEach(notice -> recordLeaving(notice, true));
        } else if (message instanceof RegionSummary summary) {
            return receive(peer, summary);
        }
        return List.of();
    }

    private List<MemberAction> receive(Peer peer, Heartbeat heartbeat) {
        boolean changed = peer.lastHeartbeat().draining() != heartbeat.draining()
                || !peer.lastHeartbeat().silentDataCentres().equals(heartbeat.silentDataCentres());
        peer.recordHeartbeat(heartbeat);
        if (heartbeat.draining()) {
            recordLeaving(new LeavingNotice(peer.host, peer.incarnation, hostList.revision()), true);
        }
        if (changed) {
            refresh();
        }
        return List.of(new MemberAction.GenerationReported(peer.host, heartbeat.generation()));
    }

    private List<MemberAction> receive(Peer peer, RegionSummary summary) {
        boolean local = peers.isLocal(peer);
        boolean isOwnSummary = peer.location.dataCentre().equals(summary.dataCentre());
        if (!local && !isOwnSummary) {
            return List.of();
        }
        boolean changed = remoteDataCentres.recordSummary(summary, nowMillis);
        leavingRegistry.observeAvailable(summary.hosts(), hostList.revision(), nowMillis);
        summary.leaving().forEach(notice -> recordLeaving(notice, false));
        List<MemberAction> actions = new ArrayList<>();
        if (changed) {
            regions = Option.none();
        }
        if (changed && !local) {
            sendToLocal(summary, actions);
        }
        if (!local) {
            actions.add(new MemberAction.GenerationReported(peer.host, summary.generation()));
        }
        return actions;
    }

    /**
     * Records that a host or target is leaving; this cannot be revoked.
     *
     * @param name the host or target
     * @param atMillis the time
     */
    public void leaving(String name, long atMillis) {
        update(atMillis, () -> {
            recordLocalLeaving(name, atMillis);
            return List.of();
        });
    }

    /**
     * Sets the names that the active configuration retires. They count as leaving in every incarnation.
     *
     * @param names all retired hosts and targets
     * @param atMillis the time
     */
    public void updateRetiring(Set<String> names, long atMillis) {
        update(atMillis, () -> {
            leavingRegistry.setRetired(names);
            new TreeSet<>(names).forEach(name -> recordLocalLeaving(name, atMillis));
            return List.of();
        });
    }

    /**
     * Advances time and sends what is due.
     *
     * @param report the state report to send to other hosts
     * @param atMillis the time
     * @return the actions to perform
     */
    public List<MemberAction> tick(SelfReport report, long atMillis) {
        return update(atMillis, () -> {
            draining = report.draining();
            peers.removeExpired(atMillis);
            refreshIfChanged();
            List<MemberAction> actions = new ArrayList<>();
            sendLeavingNotices(actions);
            sendHeartbeats(report, actions);
            Map<String, String> chosenHosts = chooseRemoteHosts();
            MemberAction.KeepLinks links = keepLinks(chosenHosts);
            if (!links.hosts().equals(requestedLinks)) {
                requestedLinks = links.hosts();
                actions.add(links);
            }
            actions.addAll(sendToRemoteDataCentres(report, chosenHosts));
            return actions;
        });
    }

    private void sendLeavingNotices(List<MemberAction> actions) {
        if (unsentNotices.isEmpty()) {
            return;
        }
        sendToLocal(new LeavingNews(unsentNotices), actions);
        unsentNotices.clear();
    }

    private void sendHeartbeats(SelfReport report, List<MemberAction> actions) {
        Heartbeat heartbeat = new Heartbeat(
                self.incarnation(),
                report.generation(),
                report.draining(),
                report.inFlight(),
                report.storeReachable(),
                remoteDataCentres.unresponsive());
        // Other hosts act on these fields; waiting for the next heartbeat would add up to 500 ms per hop.
        boolean urgent = heartbeat.generation() != lastHeartbeat.generation()
                || heartbeat.draining() != lastHeartbeat.draining()
                || !heartbeat.silentDataCentres().equals(lastHeartbeat.silentDataCentres());
        lastHeartbeat = heartbeat;
        for (Peer peer : peers.local()) {
            if (peer.connected && (urgent || nowMillis - peer.heartbeatSentMillis >= HEARTBEAT_INTERVAL_MILLIS)) {
                peer.heartbeatSentMillis = nowMillis;
                actions.add(new MemberAction.Send(peer.host, heartbeat));
            }
        }
    }

    private List<MemberAction> sendToRemoteDataCentres(SelfReport report, Map<String, String> chosenHosts) {
        Set<String> hosts = availableHosts();
        RegionSummary fullSummary = RegionSummaries.of(
                self.location(),
                report.generation(),
                hosts,
                report,
                leavingRegistry.newest(RegionSummaries.MAX_LEAVING_NOTICES));
        RegionSummary summary =
                remoteDataCentres.reportsLoads() ? fullSummary : RegionSummaries.withoutServices(fullSummary);
        CentreBeat heartbeat = new CentreBeat(report.generation());
        return remoteDataCentres.sendSummaries(chosenHosts, peers, summary, heartbeat, nowMillis);
    }

    private List<MemberAction> sendInitialState(String host) {
        List<MemberAction> actions = new ArrayList<>();
        List<LeavingNotice> notices = leavingRegistry.all();
        if (!notices.isEmpty()) {
            List<LeavingNotice> newest = notices.subList(0, Math.min(MAX_LEAVING_NOTICES, notices.size()));
            actions.add(new MemberAction.Send(host, new LeavingNews(newest)));
        }
        for (RemoteDataCentre remote : remoteDataCentres.all()) {
            if (remote.representedSinceMillis.isDefined() && remote.isHeardFrom(nowMillis)) {
                remote.summary.forEach(summary -> actions.add(new MemberAction.Send(host, summary)));
            }
        }
        return actions;
    }

    private void sendToLocal(MemberMessage message, List<MemberAction> actions) {
        for (Peer peer : peers.local()) {
            if (peer.connected) {
                actions.add(new MemberAction.Send(peer.host, message));
            }
        }
    }

    private MemberAction.KeepLinks keepLinks(Map<String, String> chosenHosts) {
        Set<String> hosts = new TreeSet<>(chosenHosts.values());
        for (ListedHost host : listedEntryHosts.values()) {
            boolean local = host.location().dataCentre().equals(self.location().dataCentre());
            if (local && !host.name().equals(self.host())) {
                hosts.add(host.name());
            }
        }
        return new MemberAction.KeepLinks(List.copyOf(hosts));
    }

    private Map<String, String> chooseRemoteHosts() {
        return remoteDataCentres.chooseHosts(peers, host -> !leavingRegistry.contains(host), nowMillis);
    }

    private Option<Peer> recordMessage(String host, long incarnation, Location location) {
        Option<Peer> peer = peers.recordMessage(host, incarnation, location, nowMillis);
        peer.forEach(known -> {
            leavingRegistry.observeIncarnation(host, incarnation, hostList.revision());
            remoteDataCentres.recordMessage(location, nowMillis);
        });
        return peer;
    }

    private void recordLocalLeaving(String name, long atMillis) {
        LeavingNotice notice = new LeavingNotice(name, incarnationOf(name), hostList.revision());
        if (leavingRegistry.add(notice, true, atMillis, notice.incarnation())
                && unsentNotices.size() < MAX_LEAVING_NOTICES) {
            unsentNotices.add(notice);
        }
        regions = Option.none();
    }

    private void recordLeaving(LeavingNotice notice, boolean local) {
        if (leavingRegistry.add(notice, local, nowMillis, incarnationOf(notice.name()))) {
            regions = Option.none();
        }
    }

    private long incarnationOf(String name) {
        if (name.equals(self.host())) {
            return self.incarnation();
        }
        return peers.find(name).map(peer -> peer.incarnation).getOrElse(0L);
    }

    private void refresh() {
        remoteDataCentres.refresh(representativeCandidates(), peers, nowMillis);
        regions = Option.none();
    }

    /** Invalidates the aggregated regions only when reachability changed or the load timestamps are outdated. */
    private void refreshIfChanged() {
        boolean outdated = nowMillis - regionsMillis >= REGIONS_REFRESH_MILLIS;
        if (remoteDataCentres.refresh(representativeCandidates(), peers, nowMillis) || outdated) {
            regions = Option.none();
        }
    }

    /** Returns the live hosts of the local data centre, including this one, that accept new work. */
    private Set<String> availableHosts() {
        Set<String> hosts = new TreeSet<>();
        if (!draining && !leavingRegistry.contains(self.host())) {
            hosts.add(self.host());
        }
        for (Peer peer : peers.liveLocal(nowMillis)) {
            if (!leavingRegistry.contains(peer.host)) {
                hosts.add(peer.host);
            }
        }
        return hosts;
    }

    private Set<String> representativeCandidates() {
        Set<String> candidates = availableHosts();
        return candidates.isEmpty() ? Set.of(self.host()) : candidates;
    }

    /**
     * Returns the targets of this host's region that accept work.
     *
     * @return the targets
     */
    public List<ListedHost> targetsAcceptingWork() {
        return read(() -> hostList.targets().stream()
                .filter(target ->
                        target.location().region().equals(self.location().region()))
                .filter(target -> !target.leaving() && !leavingRegistry.contains(target.name()))
                .toList());
    }

    /**
     * Returns the current view of the other regions.
     *
     * @return the other regions with their reachable hosts
     */
    public List<RemoteRegion> remoteRegions() {
        return read(() -> {
            if (regions.isEmpty()) {
                regions = Option.some(aggregateRegions());
                regionsMillis = nowMillis;
            }
            return regions.get();
        });
    }

    private List<RemoteRegion> aggregateRegions() {
        Map<String, Set<String>> hosts = new TreeMap<>();
        Map<String, RemoteDataCentre> newest = new TreeMap<>();
        for (RemoteDataCentre remote : remoteDataCentres.all()) {
            String region = remote.location.region();
            if (region.equals(self.location().region())) {
                continue;
            }
            Set<String> available = availableHostsIn(remote);
            if (available.isEmpty()) {
                continue;
            }
            hosts.computeIfAbsent(region, name -> new TreeSet<>()).addAll(available);
            boolean hasLoads =
                    remote.summary.exists(summary -> !summary.services().isEmpty());
            if (hasLoads
                    && (!newest.containsKey(region)
                            || newest.get(region).summaryReceivedMillis < remote.summaryReceivedMillis)) {
                newest.put(region, remote);
            }
        }
        List<RemoteRegion> aggregated = new ArrayList<>();
        hosts.forEach((region, names) -> {
            Map<String, RemoteRegion.ServiceLoad> loads = Option.of(newest.get(region))
                    .flatMap(remote -> remote.summary.map(summary -> RegionSummaries.parseLoads(
                            summary, remoteDataCentres.loadsValidAtMillis(remote, nowMillis))))
                    .getOrElse(Map.of());
            aggregated.add(new RemoteRegion(region, RendezvousHashing.rank(names, self.host()), loads));
        });
        return List.copyOf(aggregated);
    }

    private Set<String> availableHostsIn(RemoteDataCentre remote) {
        Set<String> hosts = new TreeSet<>();
        if (remote.reachable) {
            remote.summary.forEach(summary -> hosts.addAll(summary.hosts()));
        }
        for (Peer peer : peers.remoteConnected()) {
            if (peer.location.dataCentre().equals(remote.location.dataCentre())
                    && !peer.lastHeartbeat().draining()) {
                hosts.add(peer.host);
            }
        }
        hosts.removeIf(host -> leavingRegistry.contains(host)
                || peers.isDisconnectedSince(host, nowMillis - DISCONNECTED_EXCLUSION_MILLIS));
        return hosts;
    }

    /**
     * Returns the reachable hosts of a data centre that accept new work, best first.
     *
     * @param dataCentre the data centre
     * @return the names of the hosts
     */
    public List<String> reachableHosts(String dataCentre) {
        return read(() -> {
            if (dataCentre.equals(self.location().dataCentre())) {
                Set<String> hosts = availableHosts();
                hosts.remove(self.host());
                return RendezvousHashing.rank(hosts, self.host());
            }
            return remoteDataCentres
                    .find(dataCentre)
                    .map(remote -> RendezvousHashing.rank(availableHostsIn(remote), self.host()))
                    .getOrElse(List.of());
        });
    }

    /**
     * Returns the hosts to which this host has a link.
     *
     * @return their names
     */
    public List<String> connectedHosts() {
        return read(() -> peers.connected().stream().map(peer -> peer.host).toList());
    }

    /**
     * Returns the region of a host.
     *
     * @param host the host
     * @return its region, or none if the host is not known
     */
    public Option<String> regionOf(String host) {
        return read(() -> locationOf(host).map(Location::region));
    }

    private Option<Location> locationOf(String host) {
        return peers.find(host)
                .map(peer -> peer.location)
                .orElse(() -> Option.of(listedEntryHosts.get(host)).map(ListedHost::location))
                .orElse(() -> locationFromSummaries(host));
    }

    private Option<Location> locationFromSummaries(String host) {
        for (RemoteDataCentre remote : remoteDataCentres.all()) {
            if (remote.summary.exists(summary -> summary.hosts().contains(host))) {
                return Option.some(remote.location);
            }
        }
        return Option.none();
    }

    private static Option<Location> locationIn(MemberMessage message) {
        if (message instanceof Hello hello
                && !hello.region().isEmpty()
                && !hello.dataCentre().isEmpty()) {
            return Option.some(Location.of(hello.region(), hello.dataCentre()));
        }
        return Option.none();
    }

    /**
     * Returns the entry hosts that a caller should use.
     *
     * @param account the caller's account
     * @param homeDataCentre the account's home data centre
     * @param atMillis the time
     * @return a bounded number of hosts, those of the home data centre first
     */
    public EntryHosts entryHosts(String account, String homeDataCentre, long atMillis) {
        return read(() -> {
            List<ListedHost> usable = listedEntryHosts.values().stream()
                    .filter(host -> isUsable(host, atMillis))
                    .toList();
            // If no host is known to be usable, an empty list would leave callers without any host to try.
            if (usable.isEmpty()) {
                usable = listedEntryHosts.values().stream()
                        .filter(host -> !leavingRegistry.contains(host.name()))
                        .toList();
            }
            return new EntryHosts(EntryHostOrder.order(usable, account, homeDataCentre), ENTRY_HOSTS_TTL_MILLIS);
        });
    }

    private boolean isUsable(ListedHost host, long atMillis) {
        if (leavingRegistry.contains(host.name())) {
            return false;
        }
        if (host.name().equals(self.host())) {
            return !draining;
        }
        boolean starting = startMillis.forAll(start -> atMillis - start < STARTUP_GRACE_MILLIS);
        if (host.location().dataCentre().equals(self.location().dataCentre())) {
            Option<Peer> peer = peers.find(host.name());
            return peer.isEmpty() ? starting : peer.get().isLive(atMillis);
        }
        Option<RemoteDataCentre> remote = remoteDataCentres.find(host.location().dataCentre());
        if (remote.exists(known -> known.summary.isEmpty()) && starting) {
            return true;
        }
        return remote.exists(known -> availableHostsIn(known).contains(host.name()));
    }

    /**
     * Returns everything that is known to be leaving.
     *
     * @return the names of hosts and targets
     */
    public Set<String> leaving() {
        return read(leavingRegistry::names);
    }

    /**
     * Returns the hosts that this one can receive state from.
     *
     * @return the hosts
     */
    public PeerView peerView() {
        return read(() -> {
            Set<String> listed = new TreeSet<>();
            for (ListedHost host : listedEntryHosts.values()) {
                boolean local =
                        host.location().dataCentre().equals(self.location().dataCentre());
                if (local && !host.name().equals(self.host()) && !leavingRegistry.contains(host.name())) {
                    listed.add(host.name());
                }
            }
            List<LocalPeer> live = peers.liveLocal(nowMillis).stream()
                    .map(peer -> new LocalPeer(peer.host, peer.lastHeartbeat().storeReachable()))
                    .toList();
            List<String> remote =
                    peers.remoteConnected().stream().map(peer -> peer.host).toList();
            return new PeerView(listed, live, remote);
        });
    }

    /**
     * Returns whether this host should try to acquire its region's controller lease for orders to targets.
     *
     * @return whether it is among the highest ranked hosts of its region
     */
    public boolean isControllerCandidate() {
        return read(() -> {
            Set<String> hosts = availableHosts();
            for (RemoteDataCentre remote : remoteDataCentres.all()) {
                if (remote.location.region().equals(self.location().region())) {
                    hosts.addAll(availableHostsIn(remote));
                }
            }
            List<String> ranked = RendezvousHashing.rank(
                    hosts, "controller/" + self.location().region());
            return ranked.subList(0, Math.min(CONTROLLER_CANDIDATES, ranked.size()))
                    .contains(self.host());
        });
    }

    private List<MemberAction> update(long atMillis, Supplier<List<MemberAction>> operation) {
        lock.lock();
        try {
            nowMillis = Math.max(nowMillis, atMillis);
            startMillis = startMillis.orElse(Option.some(atMillis));
            return operation.get();
        } finally {
            lock.unlock();
        }
    }

    private <T> T read(Supplier<T> query) {
        lock.lock();
        try {
            return query.get();
        } finally {
            lock.unlock();
        }
    }
}
