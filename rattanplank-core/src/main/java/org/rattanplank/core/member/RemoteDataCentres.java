package org.rattanplank.core.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import io.vavr.control.Option;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.host.RendezvousHashing;
import org.rattanplank.schema.message.CentreBeat;
import org.rattanplank.schema.message.MemberMessage;
import org.rattanplank.schema.message.RegionSummary;

/**
 * The other data centres: which of them this host is a representative for, their summaries, and whether they are
 * reachable.
 *
 * <p>For each remote data centre, rendezvous hashing elects two of the local live hosts as representatives, which
 * spreads the work over all hosts. Both sides rank by the same key, so that each representative receives messages from
 * the other side's representatives. There are two so that the loss of one leaves no gap. Not thread safe.
 */
final class RemoteDataCentres {
    static final int REPRESENTATIVES = 2;

    /**
     * Time without a message after which a data centre counts as partitioned: two heartbeat intervals and a slow link.
     */
    static final long UNRESPONSIVE_AFTER_MILLIS = 2_200;

    static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;

    private static final long DIAL_TIMEOUT_MILLIS = 2_000;
    private static final long MIN_SUMMARY_INTERVAL_MILLIS = 250;
    private static final long MIN_LOAD_INTERVAL_MILLIS = 1_000;
    private static final long LOAD_INTERVAL_MILLIS_PER_DATA_CENTRE = 250;
    private static final long MAX_LOAD_INTERVAL_MILLIS = 10_000;

    private final NodeIdentity self;
    private final Map<String, RemoteDataCentre> dataCentres = new TreeMap<>();
    private final Map<String, List<String>> listedHosts = new TreeMap<>();
    private Set<String> representativeCandidates = Set.of();

    RemoteDataCentres(NodeIdentity self) {
        this.self = self;
    }

    Collection<RemoteDataCentre> all() {
        return dataCentres.values();
    }

    Option<RemoteDataCentre> find(String dataCentre) {
        return Option.of(dataCentres.get(dataCentre));
    }

    void updateHostList(HostList list) {
        listedHosts.clear();
        for (ListedHost host : list.entryHosts()) {
            if (isRemote(host.location().dataCentre())) {
                dataCentres.computeIfAbsent(
                        host.location().dataCentre(), name -> new RemoteDataCentre(host.location()));
                listedHosts
                        .computeIfAbsent(host.location().dataCentre(), name -> new ArrayList<>())
                        .add(host.name());
            }
        }
        dataCentres
                .values()
                .removeIf(remote -> !listedHosts.containsKey(remote.location.dataCentre()) && remote.summary.isEmpty());
    }

    /** Forgets that a host was sent the summary, which may have been lost with the link. */
    void disconnected(String host) {
        for (RemoteDataCentre remote : dataCentres.values()) {
            if (remote.summaryRecipient.exists(recipient -> recipient.host().equals(host))) {
                remote.summaryRecipient = Option.none();
            }
        }
    }

    void recordMessage(Location location, long nowMillis) {
        if (isRemote(location.dataCentre())) {
            dataCentres.computeIfAbsent(location.dataCentre(), name -> new RemoteDataCentre(location))
                    .lastMessageMillis = nowMillis;
        }
    }

    /** Records the summary of a data centre; returns whether it differs from the previous one. */
    boolean recordSummary(RegionSummary summary, long nowMillis) {
        if (!isRemote(summary.dataCentre())
                || summary.dataCentre().isEmpty()
                || summary.region().isEmpty()) {
            return false;
        }
        Location location = Location.of(summary.region(), summary.dataCentre());
        RemoteDataCentre remote =
                dataCentres.computeIfAbsent(summary.dataCentre(), name -> new RemoteDataCentre(location));
        boolean changed = !remote.summary.contains(summary);
        remote.summary = Option.some(summary);
        remote.summaryReceivedMillis = nowMillis;
        return changed;
    }

    private List<String> electRepresentatives(String dataCentre) {
        List<String> ranked = RendezvousHashing.rank(representativeCandidates, "speaker/" + dataCentre);
        return List.copyOf(ranked.subList(0, Math.min(REPRESENTATIVES, ranked.size())));
    }

    /** Updates which data centres are unresponsive and which are reachable; returns whether reachability changed. */
    boolean refresh(Set<String> newCandidates, PeerTable peers, long nowMillis) {
        boolean candidatesChanged = !newCandidates.equals(representativeCandidates);
        representativeCandidates = newCandidates;
        boolean changed = false;
        for (RemoteDataCentre remote : dataCentres.values()) {
            if (candidatesChanged || remote.representatives.isEmpty()) {
                remote.representatives = electRepresentatives(remote.location.dataCentre());
            }
            boolean wasReachable = remote.reachable;
            if (!remote.representatives.contains(self.host())) {
                remote.stopRepresenting();
            } else if (remote.representedSinceMillis.isEmpty()) {
                remote.representedSinceMillis = Option.some(nowMillis);
            }
            remote.unresponsive =
                    remote.representedSinceMillis.exists(since -> nowMillis - since > UNRESPONSIVE_AFTER_MILLIS)
                            && !remote.isHeardFrom(nowMillis);
            remote.reachable = remote.representatives.stream()
                    .anyMatch(representative -> !isUnresponsive(remote, representative, peers));
            changed = changed || wasReachable != remote.reachable;
        }
        return changed;
    }

    private boolean isUnresponsive(RemoteDataCentre remote, String representative, PeerTable peers) {
        if (representative.equals(self.host())) {
            return remote.unresponsive;
        }
        return peers.find(representative)
                .exists(peer -> peer.lastHeartbeat().silentDataCentres().contains(remote.location.dataCentre()));
    }

    List<String> unresponsive() {
        return dataCentres.values().stream()
                .filter(remote -> remote.unresponsive)
                .map(remote -> remote.location.dataCentre())
                .toList();
    }

    /** Chooses the host to connect to in each data centre that this host is a representative for, by data centre. */
    Map<String, String> chooseHosts(PeerTable peers, Predicate<String> usable, long nowMillis) {
        Set<String> connected = new HashSet<>();
        peers.remoteConnected().forEach(peer -> connected.add(peer.host));
        Map<String, String> chosenHosts = new TreeMap<>();
        for (RemoteDataCentre remote : dataCentres.values()) {
            if (remote.representedSinceMillis.isEmpty()) {
                continue;
            }
            String name = remote.location.dataCentre();
            List<String> candidates = hostsOf(remote).stream().filter(usable).toList();
            List<String> ranked =
                    remote.rank(candidates, "speaker/" + self.location().dataCentre());
            remote.chooseHost(
                            ranked,
                            remote.representatives.indexOf(self.host()),
                            connected,
                            nowMillis,
                            DIAL_TIMEOUT_MILLIS)
                    .forEach(host -> chosenHosts.put(name, host));
        }
        return chosenHosts;
    }

    /** Returns the messages that are due to each data centre that this host is a representative for. */
    List<MemberAction> sendSummaries(
            Map<String, String> chosenHosts,
            PeerTable peers,
            RegionSummary summary,
            CentreBeat heartbeat,
            long nowMillis) {
        List<MemberAction> actions = new ArrayList<>();
        RegionSummary forOwnRegion = RegionSummaries.withoutServices(summary);
        chosenHosts.forEach(
                (name, host) -> peers.find(host).filter(peer -> peer.connected).forEach(peer -> {
                    RemoteDataCentre remote = dataCentres.get(name);
                    boolean sameRegion =
                            remote.location.region().equals(self.location().region());
                    boolean sendsLoads = remote.representatives.indexOf(self.host()) == 0;
                    nextMessage(remote, peer, sameRegion ? forOwnRegion : summary, heartbeat, sendsLoads, nowMillis)
                            .forEach(message -> actions.add(new MemberAction.Send(host, message)));
                }));
        return actions;
    }

    private Option<MemberMessage> nextMessage(
            RemoteDataCentre remote,
            Peer peer,
            RegionSummary summary,
            CentreBeat heartbeat,
            boolean sendsLoads,
            long nowMillis) {
        RemoteDataCentre.Recipient recipient = new RemoteDataCentre.Recipient(peer.host, peer.incarnation);
        boolean isNewRecipient = !remote.summaryRecipient.contains(recipient);
        long sinceSummary = nowMillis - remote.summarySentMillis;
        boolean changed = sinceSummary >= MIN_SUMMARY_INTERVAL_MILLIS
                && remote.sentSummary.exists(sent -> RegionSummaries.differBeyondLoad(sent, summary));
        boolean loadDue = sendsLoads && sinceSummary >= loadIntervalMillis() && !remote.sentSummary.contains(summary);
        if (isNewRecipient || changed || loadDue) {
            remote.summaryRecipient = Option.some(recipient);
            remote.sentSummary = Option.some(summary);
            remote.summarySentMillis = nowMillis;
            remote.lastSentMillis = nowMillis;
            return Option.some(summary);
        }
        if (nowMillis - remote.lastSentMillis >= HEARTBEAT_INTERVAL_MILLIS) {
            remote.lastSentMillis = nowMillis;
            return Option.some(heartbeat);
        }
        return Option.none();
    }

    /**
     * Returns whether this data centre reports the load of its region to others. Rendezvous hashing selects one
     * reachable data centre per region, because all data centres of a region would report the same load.
     */
    boolean reportsLoads() {
        List<String> inRegion = new ArrayList<>(List.of(self.location().dataCentre()));
        for (RemoteDataCentre remote : dataCentres.values()) {
            if (remote.reachable
                    && remote.location.region().equals(self.location().region())) {
                inRegion.add(remote.location.dataCentre());
            }
        }
        return RendezvousHashing.rank(inRegion, "loads")
                .get(0)
                .equals(self.location().dataCentre());
    }

    /**
     * Returns the time at which the loads of a data centre were last known to be valid: every change is reported within
     * the load interval.
     */
    long loadsValidAtMillis(RemoteDataCentre remote, long nowMillis) {
        return remote.reachable
                ? Math.max(remote.summaryReceivedMillis, nowMillis - loadIntervalMillis())
                : remote.summaryReceivedMillis;
    }

    private long loadIntervalMillis() {
        long interval = LOAD_INTERVAL_MILLIS_PER_DATA_CENTRE * dataCentres.size();
        return Math.max(MIN_LOAD_INTERVAL_MILLIS, Math.min(MAX_LOAD_INTERVAL_MILLIS, interval));
    }

    /** Returns the hosts of a data centre from its summary, or from the host list until a summary was received. */
    List<String> hostsOf(RemoteDataCentre remote) {
        return remote.summary
                .map(RegionSummary::hosts)
                .filter(hosts -> !hosts.isEmpty())
                .getOrElse(() -> listedHosts.getOrDefault(remote.location.dataCentre(), List.of()));
    }

    private boolean isRemote(String dataCentre) {
        return !dataCentre.equals(self.location().dataCentre());
    }
}
