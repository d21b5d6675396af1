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
import org.rattanplank.core.host.Place;
import org.rattanplank.core.host.Rendezvous;
import org.rattanplank.schema.message.CentreBeat;
import org.rattanplank.schema.message.MemberMessage;
import org.rattanplank.schema.message.RegionSummary;

/**
 * The other data centres: which of them this host speaks to, what they say of themselves, and whether they are heard.
 *
 * <p>For each other data centre the two best of the own live hosts by rendezvous speak to it, so that the work spreads
 * over all hosts; both ends rank by the same key, so that each speaker hears from the other end's speakers. Two, so that
 * the loss of one leaves no gap. Not thread safe.
 */
final class Centres {
    static final int SPEAKERS = 2;

    /** After this long without a word a data centre counts as cut off: two heartbeats and a slow link. */
    static final long SILENT_MILLIS = 2_200;

    static final long BEAT_MILLIS = 1_000;

    private static final long PATIENCE_MILLIS = 2_000;
    private static final long MIN_GAP_MILLIS = 250;
    private static final long MIN_LOAD_GAP_MILLIS = 1_000;
    private static final long LOAD_GAP_MILLIS_FOR_EACH_CENTRE = 250;
    private static final long MAX_LOAD_GAP_MILLIS = 10_000;

    private final NodeIdentity self;
    private final Map<String, Centre> centres = new TreeMap<>();
    private final Map<String, List<String>> listedHosts = new TreeMap<>();
    private Set<String> speakerPool = Set.of();

    Centres(NodeIdentity self) {
        this.self = self;
    }

    Collection<Centre> all() {
        return centres.values();
    }

    Option<Centre> find(String dataCentre) {
        return Option.of(centres.get(dataCentre));
    }

    void listed(HostList list) {
        listedHosts.clear();
        for (ListedHost host : list.entryHosts()) {
            if (isOther(host.place().dataCentre())) {
                centres.computeIfAbsent(host.place().dataCentre(), name -> new Centre(host.place()));
                listedHosts
                        .computeIfAbsent(host.place().dataCentre(), name -> new ArrayList<>())
                        .add(host.name());
            }
        }
        centres.values()
                .removeIf(centre -> !listedHosts.containsKey(centre.place.dataCentre()) && centre.summary.isEmpty());
    }

    void heard(Place place, long nowMillis) {
        if (isOther(place.dataCentre())) {
            centres.computeIfAbsent(place.dataCentre(), name -> new Centre(place)).heardMillis = nowMillis;
        }
    }

    /** Takes what a data centre says of itself; tells whether it differs from what was known. */
    boolean summed(RegionSummary summary, long nowMillis) {
        if (!isOther(summary.dataCentre())
                || summary.dataCentre().isEmpty()
                || summary.region().isEmpty()) {
            return false;
        }
        Place place = Place.of(summary.region(), summary.dataCentre());
        Centre centre = centres.computeIfAbsent(summary.dataCentre(), name -> new Centre(place));
        boolean news = !centre.summary.contains(summary);
        centre.summary = Option.some(summary);
        centre.summaryMillis = nowMillis;
        return news;
    }

    private List<String> rankSpeakers(String dataCentre) {
        List<String> ranked = Rendezvous.rank(speakerPool, "speaker/" + dataCentre);
        return List.copyOf(ranked.subList(0, Math.min(SPEAKERS, ranked.size())));
    }

    /** Decides which data centres are silent to this host and which can be reached; tells whether the latter changed. */
    boolean refresh(Set<String> newPool, PeerTable peers, long nowMillis) {
        boolean poolChanged = !newPool.equals(speakerPool);
        speakerPool = newPool;
        boolean changed = false;
        for (Centre centre : centres.values()) {
            if (poolChanged || centre.speakers.isEmpty()) {
                centre.speakers = rankSpeakers(centre.place.dataCentre());
            }
            boolean wasReachable = centre.reachable;
            if (!centre.speakers.contains(self.host())) {
                centre.stopSpeaking();
            } else if (centre.speaksSinceMillis.isEmpty()) {
                centre.speaksSinceMillis = Option.some(nowMillis);
            }
            centre.silent = centre.speaksSinceMillis.exists(since -> nowMillis - since > SILENT_MILLIS)
                    && nowMillis - centre.heardMillis > SILENT_MILLIS;
            centre.reachable = centre.speakers.stream().anyMatch(speaker -> !isSilent(centre, speaker, peers));
            changed = changed || wasReachable != centre.reachable;
        }
        return changed;
    }

    private boolean isSilent(Centre centre, String speaker, PeerTable peers) {
        if (speaker.equals(self.host())) {
            return centre.silent;
        }
        return peers.find(speaker)
                .exists(peer -> peer.last().silentDataCentres().contains(centre.place.dataCentre()));
    }

    List<String> silent() {
        return centres.values().stream()
                .filter(centre -> centre.silent)
                .map(centre -> centre.place.dataCentre())
                .toList();
    }

    /** Chooses the host to dial in each data centre that this host speaks to, by data centre. */
    Map<String, String> choose(PeerTable peers, Predicate<String> usable, long nowMillis) {
        Set<String> linked = new HashSet<>();
        peers.remoteLinked().forEach(peer -> linked.add(peer.host));
        Map<String, String> chosen = new TreeMap<>();
        for (Centre centre : centres.values()) {
            if (centre.speaksSinceMillis.isEmpty()) {
                continue;
            }
            String name = centre.place.dataCentre();
            List<String> there = hostsOf(centre).stream().filter(usable).toList();
            List<String> ranked = centre.rank(there, "speaker/" + self.place().dataCentre());
            centre.choose(ranked, centre.speakers.indexOf(self.host()), linked, nowMillis, PATIENCE_MILLIS)
                    .forEach(host -> chosen.put(name, host));
        }
        return chosen;
    }

    /** Finds what to tell each data centre that this host speaks to. */
    List<MemberStep> tell(
            Map<String, String> chosen, PeerTable peers, RegionSummary summary, CentreBeat beat, long nowMillis) {
        List<MemberStep> steps = new ArrayList<>();
        RegionSummary forOwnRegion = Summaries.withoutServices(summary);
        chosen.forEach(
                (name, host) -> peers.find(host).filter(peer -> peer.linked).forEach(peer -> {
                    Centre centre = centres.get(name);
                    boolean sameRegion =
                            centre.place.region().equals(self.place().region());
                    boolean first = centre.speakers.indexOf(self.host()) == 0;
                    message(centre, peer, sameRegion ? forOwnRegion : summary, beat, first, nowMillis)
                            .forEach(message -> steps.add(new MemberStep.Send(host, message)));
                }));
        return steps;
    }

    private Option<MemberMessage> message(
            Centre centre, Peer peer, RegionSummary summary, CentreBeat beat, boolean first, long nowMillis) {
        String process = peer.host + "/" + peer.incarnation;
        boolean fresh = !process.equals(centre.toldProcess);
        long sinceTold = nowMillis - centre.toldMillis;
        boolean changed = sinceTold >= MIN_GAP_MILLIS
                && centre.told.exists(told -> Summaries.differInMoreThanLoad(told, summary));
        boolean loadDue = first && sinceTold >= loadGapMillis() && !centre.told.contains(summary);
        if (fresh || changed || loadDue) {
            centre.toldProcess = process;
            centre.told = Option.some(summary);
            centre.toldMillis = nowMillis;
            centre.beatMillis = nowMillis;
            return Option.some(summary);
        }
        if (nowMillis - centre.beatMillis >= BEAT_MILLIS) {
            centre.beatMillis = nowMillis;
            return Option.some(beat);
        }
        return Option.none();
    }

    /**
     * Tells whether this data centre tells others of its region's load: one for each region does, the best by rendezvous
     * of those that can be reached, because all of a region would say the same.
     */
    boolean tellsLoads() {
        List<String> ofRegion = new ArrayList<>(List.of(self.place().dataCentre()));
        for (Centre centre : centres.values()) {
            if (centre.reachable && centre.place.region().equals(self.place().region())) {
                ofRegion.add(centre.place.dataCentre());
            }
        }
        return Rendezvous.rank(ofRegion, "loads").get(0).equals(self.place().dataCentre());
    }

    /** When the loads of a data centre were last known to hold: every change is told within the gap between loads. */
    long loadsHoldMillis(Centre centre, long nowMillis) {
        return centre.reachable ? Math.max(centre.summaryMillis, nowMillis - loadGapMillis()) : centre.summaryMillis;
    }

    private long loadGapMillis() {
        long gap = LOAD_GAP_MILLIS_FOR_EACH_CENTRE * centres.size();
        return Math.max(MIN_LOAD_GAP_MILLIS, Math.min(MAX_LOAD_GAP_MILLIS, gap));
    }

    /** The hosts of a data centre as it says itself, or as the platform lists them while it has said nothing. */
    List<String> hostsOf(Centre centre) {
        return centre.summary
                .map(RegionSummary::hosts)
                .filter(hosts -> !hosts.isEmpty())
                .getOrElse(() -> listedHosts.getOrDefault(centre.place.dataCentre(), List.of()));
    }

    private boolean isOther(String dataCentre) {
        return !dataCentre.equals(self.place().dataCentre());
    }
}
