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
import org.rattanplank.core.host.Place;
import org.rattanplank.core.host.Rendezvous;
import org.rattanplank.core.route.RemoteRegion;
import org.rattanplank.schema.message.CentreBeat;
import org.rattanplank.schema.message.Heartbeat;
import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.LeavingNews;
import org.rattanplank.schema.message.LeavingNotice;
import org.rattanplank.schema.message.MemberMessage;
import org.rattanplank.schema.message.RegionSummary;

/**
 * Knows which hosts and targets are there, which are leaving, and which entry hosts callers should use.
 *
 * <p>Inside a data centre every host sends heartbeats to every other. Other data centres are known by bounded summaries
 * that few hosts exchange and relay, so that a host's traffic follows the size of its data centre and the number of data
 * centres, not that of the fleet.
 *
 * <p>Invariant: nothing that must be safe rests on what this class suspects; it only steers. A host or target that was
 * leaving once stays so under its name until a new incarnation of it shows. Thread safe; one lock guards all state, and
 * no other lock is taken while it is held.
 */
public final class Members {
    private static final long TTL_MILLIS = 2_000;
    private static final long BEAT_MILLIS = 500;
    private static final long START_GRACE_MILLIS = 3_000;
    private static final long LOST_MILLIS = 3_000;
    private static final long OLDER_LIST_MILLIS = 30_000;
    private static final long REGIONS_MILLIS = 1_000;
    private static final int MAX_NOTICES = 256;
    private static final int CONTROLLER_CANDIDATES = 2;

    private final ReentrantLock lock = new ReentrantLock();
    private final NodeIdentity self;
    private final PeerTable peers;
    private final Centres centres;
    private final Leavings leavings = new Leavings();
    private final Map<String, ListedHost> listedEntryHosts = new TreeMap<>();
    private final List<LeavingNotice> unsent = new ArrayList<>();
    private HostList list = HostList.empty();
    private long listMillis;
    private boolean draining;
    private Heartbeat lastBeat = new Heartbeat(0, 0, false, 0, false, List.of());
    private List<String> links = List.of();
    private Option<List<RemoteRegion>> regions = Option.none();
    private long regionsMillis;
    private Option<Long> startMillis = Option.none();
    private long nowMillis;

    private Members(NodeIdentity self) {
        this.self = self;
        peers = new PeerTable(self.place().dataCentre());
        centres = new Centres(self);
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
     * Takes the platform's list of hosts, or one from the settings with revision zero.
     *
     * @param newer the list
     * @param atMillis the time
     * @return what to do
     */
    public List<MemberStep> listed(HostList newer, long atMillis) {
        return change(atMillis, () -> {
            // A lagging member of the platform may answer an older list after a newer one: hosts that were replaced
            // would come back for a while. Only when nothing newer came for long is the older one believed, because
            // the platform may have been set up anew.
            boolean older = newer.revision() < list.revision();
            if (older && atMillis - listMillis < OLDER_LIST_MILLIS) {
                return List.of();
            }
            list = newer;
            listMillis = atMillis;
            listedEntryHosts.clear();
            list.entryHosts().forEach(host -> listedEntryHosts.put(host.name(), host));
            leavings.listed(list, atMillis);
            list.hosts().stream().filter(ListedHost::leaving).forEach(host -> learnFirstHand(host.name(), atMillis));
            centres.listed(list);
            refresh();
            return List.of(keepLinks(chosen()));
        });
    }

    /**
     * Takes note that a link to a host is up.
     *
     * @param host the host
     * @param incarnation the other process's start time
     * @param place where it stands
     * @param atMillis the time
     * @return what to do
     */
    public List<MemberStep> connected(String host, long incarnation, Place place, long atMillis) {
        return change(atMillis, () -> {
            Option<Peer> heard = heard(host, incarnation, place);
            if (heard.isEmpty()) {
                return List.of();
            }
            Peer peer = heard.get();
            peer.linked = true;
            peer.sentMillis = Long.MIN_VALUE / 2;
            refresh();
            return peers.isLocal(peer) ? greet(host) : List.of();
        });
    }

    /**
     * Takes note that a link to a host broke.
     *
     * @param host the host
     * @param refused whether its address refused the connection
     * @param atMillis the time
     * @return what to do
     */
    public List<MemberStep> lost(String host, boolean refused, long atMillis) {
        return change(atMillis, () -> {
            peers.lost(host, refused, atMillis);
            refresh();
            return List.of();
        });
    }

    /**
     * Takes a message of another host.
     *
     * @param host the other host
     * @param incarnation the other process's start time
     * @param message the message
     * @param atMillis the time
     * @return what to do
     */
    public List<MemberStep> receive(String host, long incarnation, MemberMessage message, long atMillis) {
        return change(atMillis, () -> {
            Option<Place> place = placeOf(host).orElse(() -> placeIn(message));
            Option<Peer> heard = place.flatMap(known -> heard(host, incarnation, known));
            return heard.map(peer -> receive(peer, message)).getOrElse(List.of());
        });
    }

    private List<MemberStep> receive(Peer peer, MemberMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            return receive(peer, heartbeat);
        }
        if (message instanceof CentreBeat beat) {
            return List.of(new MemberStep.Heard(peer.host, beat.generation()));
        }
        if (message instanceof LeavingNews news) {
            news.notices().forEach(notice -> learn(notice, true));
        } else if (message instanceof RegionSummary summary) {
            return receive(peer, summary);
        }
        return List.of();
    }

    private List<MemberStep> receive(Peer peer, Heartbeat heartbeat) {
        boolean changed = peer.last().draining() != heartbeat.draining()
                || !peer.last().silentDataCentres().equals(heartbeat.silentDataCentres());
        peer.beat(heartbeat);
        if (heartbeat.draining()) {
            learn(new LeavingNotice(peer.host, peer.incarnation, list.revision()), true);
        }
        if (changed) {
            refresh();
        }
        return List.of(new MemberStep.Heard(peer.host, heartbeat.generation()));
    }

    private List<MemberStep> receive(Peer peer, RegionSummary summary) {
        boolean local = peers.isLocal(peer);
        boolean ofItself = peer.place.dataCentre().equals(summary.dataCentre());
        if (!local && !ofItself) {
            return List.of();
        }
        boolean news = centres.summed(summary, nowMillis);
        leavings.back(summary.hosts(), list.revision(), nowMillis);
        summary.leaving().forEach(notice -> learn(notice, false));
        List<MemberStep> steps = new ArrayList<>();
        if (news) {
            regions = Option.none();
        }
        if (news && !local) {
            sendToLocal(summary, steps);
        }
        if (!local) {
            steps.add(new MemberStep.Heard(peer.host, summary.generation()));
        }
        return steps;
    }

    /**
     * Takes word that a host or target is leaving; this cannot be taken back.
     *
     * @param name the host or target
     * @param atMillis the time
     */
    public void leaving(String name, long atMillis) {
        change(atMillis, () -> {
            learnFirstHand(name, atMillis);
            return List.of();
        });
    }

    /**
     * Takes the names that the configuration in force retires. They count as leaving in every incarnation.
     *
     * @param names all hosts and targets that it retires
     * @param atMillis the time
     */
    public void retiring(Set<String> names, long atMillis) {
        change(atMillis, () -> {
            leavings.retire(names);
            new TreeSet<>(names).forEach(name -> learnFirstHand(name, atMillis));
            return List.of();
        });
    }

    /**
     * Lets time pass.
     *
     * @param report what to tell the others
     * @param atMillis the time
     * @return what to do
     */
    public List<MemberStep> tick(SelfReport report, long atMillis) {
        return change(atMillis, () -> {
            draining = report.draining();
            peers.forgetOld(atMillis);
            refreshIfChanged();
            List<MemberStep> steps = new ArrayList<>();
            sendNews(steps);
            sendBeats(report, steps);
            Map<String, String> chosen = chosen();
            MemberStep.KeepLinks keep = keepLinks(chosen);
            if (!keep.hosts().equals(links)) {
                links = keep.hosts();
                steps.add(keep);
            }
            steps.addAll(tellCentres(report, chosen));
            return steps;
        });
    }

    private void sendNews(List<MemberStep> steps) {
        if (unsent.isEmpty()) {
            return;
        }
        sendToLocal(new LeavingNews(unsent), steps);
        unsent.clear();
    }

    private void sendBeats(SelfReport report, List<MemberStep> steps) {
        Heartbeat beat = new Heartbeat(
                self.incarnation(),
                report.generation(),
                report.draining(),
                report.inFlight(),
                report.storeReachable(),
                centres.silent());
        // Waiting for the next beat with what others act on would add half a second to each hop of the news.
        boolean urgent = beat.generation() != lastBeat.generation()
                || beat.draining() != lastBeat.draining()
                || !beat.silentDataCentres().equals(lastBeat.silentDataCentres());
        lastBeat = beat;
        for (Peer peer : peers.local()) {
            if (peer.linked && (urgent || nowMillis - peer.sentMillis >= BEAT_MILLIS)) {
                peer.sentMillis = nowMillis;
                steps.add(new MemberStep.Send(peer.host, beat));
            }
        }
    }

    private List<MemberStep> tellCentres(SelfReport report, Map<String, String> chosen) {
        Set<String> hosts = workingHosts();
        RegionSummary whole =
                Summaries.of(self.place(), report.generation(), hosts, report, leavings.newest(Summaries.MAX_LEAVING));
        RegionSummary summary = centres.tellsLoads() ? whole : Summaries.withoutServices(whole);
        CentreBeat beat = new CentreBeat(report.generation());
        return centres.tell(chosen, peers, summary, beat, nowMillis);
    }

    private List<MemberStep> greet(String host) {
        List<MemberStep> steps = new ArrayList<>();
        List<LeavingNotice> notices = leavings.all();
        if (!notices.isEmpty()) {
            List<LeavingNotice> newest = notices.subList(0, Math.min(MAX_NOTICES, notices.size()));
            steps.add(new MemberStep.Send(host, new LeavingNews(newest)));
        }
        for (Centre centre : centres.all()) {
            if (centre.speaksSinceMillis.isDefined()) {
                centre.summary.forEach(summary -> steps.add(new MemberStep.Send(host, summary)));
            }
        }
        return steps;
    }

    private void sendToLocal(MemberMessage message, List<MemberStep> steps) {
        for (Peer peer : peers.local()) {
            if (peer.linked) {
                steps.add(new MemberStep.Send(peer.host, message));
            }
        }
    }

    private MemberStep.KeepLinks keepLinks(Map<String, String> chosen) {
        Set<String> hosts = new TreeSet<>(chosen.values());
        for (ListedHost host : listedEntryHosts.values()) {
            boolean local = host.place().dataCentre().equals(self.place().dataCentre());
            if (local && !host.name().equals(self.host())) {
                hosts.add(host.name());
            }
        }
        return new MemberStep.KeepLinks(List.copyOf(hosts));
    }

    private Map<String, String> chosen() {
        return centres.choose(peers, host -> !leavings.contains(host), nowMillis);
    }

    private Option<Peer> heard(String host, long incarnation, Place place) {
        Option<Peer> peer = peers.heard(host, incarnation, place, nowMillis);
        peer.forEach(known -> {
            leavings.incarnation(host, incarnation, list.revision());
            centres.heard(place, nowMillis);
        });
        return peer;
    }

    private void learnFirstHand(String name, long atMillis) {
        LeavingNotice notice = new LeavingNotice(name, incarnationOf(name), list.revision());
        if (leavings.learn(notice, true, atMillis, notice.incarnation()) && unsent.size() < MAX_NOTICES) {
            unsent.add(notice);
        }
        regions = Option.none();
    }

    private void learn(LeavingNotice notice, boolean local) {
        if (leavings.learn(notice, local, nowMillis, incarnationOf(notice.name()))) {
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
        centres.refresh(speakerPool(), peers, nowMillis);
        regions = Option.none();
    }

    /** Sums up the regions anew only when something changed or the loads' times have grown old. */
    private void refreshIfChanged() {
        boolean old = nowMillis - regionsMillis >= REGIONS_MILLIS;
        if (centres.refresh(speakerPool(), peers, nowMillis) || old) {
            regions = Option.none();
        }
    }

    /** The hosts of the own data centre, this one included, that live and take new work. */
    private Set<String> workingHosts() {
        Set<String> hosts = new TreeSet<>();
        if (!draining && !leavings.contains(self.host())) {
            hosts.add(self.host());
        }
        for (Peer peer : peers.liveLocal(nowMillis)) {
            if (!leavings.contains(peer.host)) {
                hosts.add(peer.host);
            }
        }
        return hosts;
    }

    private Set<String> speakerPool() {
        Set<String> pool = workingHosts();
        return pool.isEmpty() ? Set.of(self.host()) : pool;
    }

    /**
     * Finds the targets of this host's region that take work.
     *
     * @return the targets
     */
    public List<ListedHost> targetsTakingWork() {
        return read(() -> list.targets().stream()
                .filter(target -> target.place().region().equals(self.place().region()))
                .filter(target -> !target.leaving() && !leavings.contains(target.name()))
                .toList());
    }

    /**
     * Finds what is known of the other regions.
     *
     * @return the other regions with the hosts that can be reached
     */
    public List<RemoteRegion> remoteRegions() {
        return read(() -> {
            if (regions.isEmpty()) {
                regions = Option.some(sumUpRegions());
                regionsMillis = nowMillis;
            }
            return regions.get();
        });
    }

    private List<RemoteRegion> sumUpRegions() {
        Map<String, Set<String>> hosts = new TreeMap<>();
        Map<String, Centre> newest = new TreeMap<>();
        for (Centre centre : centres.all()) {
            String region = centre.place.region();
            if (region.equals(self.place().region())) {
                continue;
            }
            Set<String> there = workingHostsOf(centre);
            if (there.isEmpty()) {
                continue;
            }
            hosts.computeIfAbsent(region, name -> new TreeSet<>()).addAll(there);
            boolean tells = centre.summary.exists(summary -> !summary.services().isEmpty());
            if (tells && (!newest.containsKey(region) || newest.get(region).summaryMillis < centre.summaryMillis)) {
                newest.put(region, centre);
            }
        }
        List<RemoteRegion> summed = new ArrayList<>();
        hosts.forEach((region, names) -> {
            Map<String, RemoteRegion.ServiceLoad> loads = Option.of(newest.get(region))
                    .flatMap(centre -> centre.summary.map(
                            summary -> Summaries.loads(summary, centres.loadsHoldMillis(centre, nowMillis))))
                    .getOrElse(Map.of());
            summed.add(new RemoteRegion(region, Rendezvous.rank(names, self.host()), loads));
        });
        return List.copyOf(summed);
    }

    private Set<String> workingHostsOf(Centre centre) {
        Set<String> hosts = new TreeSet<>();
        if (centre.reachable) {
            centre.summary.forEach(summary -> hosts.addAll(summary.hosts()));
        }
        for (Peer peer : peers.remoteLinked()) {
            if (peer.place.dataCentre().equals(centre.place.dataCentre())
                    && !peer.last().draining()) {
                hosts.add(peer.host);
            }
        }
        hosts.removeIf(host -> leavings.contains(host) || peers.isLostSince(host, nowMillis - LOST_MILLIS));
        return hosts;
    }

    /**
     * Finds the hosts of a data centre that can be reached and take new work, best first.
     *
     * @param dataCentre the data centre
     * @return the names of the hosts
     */
    public List<String> reachable(String dataCentre) {
        return read(() -> {
            if (dataCentre.equals(self.place().dataCentre())) {
                Set<String> hosts = workingHosts();
                hosts.remove(self.host());
                return Rendezvous.rank(hosts, self.host());
            }
            return centres.find(dataCentre)
                    .map(centre -> Rendezvous.rank(workingHostsOf(centre), self.host()))
                    .getOrElse(List.of());
        });
    }

    /**
     * Finds the region in which a host stands.
     *
     * @param host the host
     * @return its region, or none if the host is not known
     */
    public Option<String> regionOf(String host) {
        return read(() -> placeOf(host).map(Place::region));
    }

    private Option<Place> placeOf(String host) {
        return peers.find(host)
                .map(peer -> peer.place)
                .orElse(() -> Option.of(listedEntryHosts.get(host)).map(ListedHost::place))
                .orElse(() -> summedPlaceOf(host));
    }

    private Option<Place> summedPlaceOf(String host) {
        for (Centre centre : centres.all()) {
            if (centre.summary.exists(summary -> summary.hosts().contains(host))) {
                return Option.some(centre.place);
            }
        }
        return Option.none();
    }

    private static Option<Place> placeIn(MemberMessage message) {
        if (message instanceof Hello hello
                && !hello.region().isEmpty()
                && !hello.dataCentre().isEmpty()) {
            return Option.some(Place.of(hello.region(), hello.dataCentre()));
        }
        return Option.none();
    }

    /**
     * Tells callers which entry hosts to use.
     *
     * @param account the caller's account
     * @param homeDataCentre the account's home data centre
     * @param atMillis the time
     * @return the hosts, those of the home data centre first, a bounded number of them
     */
    public EntryHosts entryHosts(String account, String homeDataCentre, long atMillis) {
        return read(() -> {
            List<ListedHost> usable = listedEntryHosts.values().stream()
                    .filter(host -> isUsable(host, atMillis))
                    .toList();
            // With nobody known to be usable, an empty answer would leave callers with nothing to try.
            if (usable.isEmpty()) {
                usable = listedEntryHosts.values().stream()
                        .filter(host -> !leavings.contains(host.name()))
                        .toList();
            }
            return new EntryHosts(EntryHostOrder.order(usable, account, homeDataCentre), TTL_MILLIS);
        });
    }

    private boolean isUsable(ListedHost host, long atMillis) {
        if (leavings.contains(host.name())) {
            return false;
        }
        if (host.name().equals(self.host())) {
            return !draining;
        }
        boolean starting = startMillis.forAll(start -> atMillis - start < START_GRACE_MILLIS);
        if (host.place().dataCentre().equals(self.place().dataCentre())) {
            Option<Peer> peer = peers.find(host.name());
            return peer.isEmpty() ? starting : peer.get().isLive(atMillis);
        }
        Option<Centre> centre = centres.find(host.place().dataCentre());
        if (centre.exists(known -> known.summary.isEmpty()) && starting) {
            return true;
        }
        return centre.exists(known -> workingHostsOf(known).contains(host.name()));
    }

    /**
     * Finds everything that is known to be leaving.
     *
     * @return the names of hosts and targets
     */
    public Set<String> leaving() {
        return read(leavings::names);
    }

    /**
     * Finds the hosts that this one can learn from.
     *
     * @return the hosts
     */
    public PeerView peerView() {
        return read(() -> {
            Set<String> listed = new TreeSet<>();
            for (ListedHost host : listedEntryHosts.values()) {
                boolean local = host.place().dataCentre().equals(self.place().dataCentre());
                if (local && !host.name().equals(self.host()) && !leavings.contains(host.name())) {
                    listed.add(host.name());
                }
            }
            List<LocalPeer> live = peers.liveLocal(nowMillis).stream()
                    .map(peer -> new LocalPeer(peer.host, peer.last().storeReachable()))
                    .toList();
            List<String> remote =
                    peers.remoteLinked().stream().map(peer -> peer.host).toList();
            return new PeerView(listed, live, remote);
        });
    }

    /**
     * Tells whether this host should try to hold its region's lease for orders to targets.
     *
     * @return whether it is among the best hosts of its region
     */
    public boolean isControllerCandidate() {
        return read(() -> {
            Set<String> hosts = workingHosts();
            for (Centre centre : centres.all()) {
                if (centre.place.region().equals(self.place().region())) {
                    hosts.addAll(workingHostsOf(centre));
                }
            }
            List<String> ranked =
                    Rendezvous.rank(hosts, "controller/" + self.place().region());
            return ranked.subList(0, Math.min(CONTROLLER_CANDIDATES, ranked.size()))
                    .contains(self.host());
        });
    }

    private List<MemberStep> change(long atMillis, Supplier<List<MemberStep>> change) {
        lock.lock();
        try {
            nowMillis = Math.max(nowMillis, atMillis);
            startMillis = startMillis.orElse(Option.some(atMillis));
            return change.get();
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
