package org.rattanplank.core.member;

import java.util.List;
import java.util.Set;

import io.vavr.control.Option;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.host.RendezvousHashing;
import org.rattanplank.schema.message.RegionSummary;

/** The view that a host has of another data centre, and what it last sent there. Not thread safe. */
final class RemoteDataCentre {
    final Location location;
    Option<RegionSummary> summary = Option.none();
    long summaryReceivedMillis;
    boolean reachable = true;

    /** Hosts of the local data centre that represent it towards this one, best first. */
    List<String> representatives = List.of();

    /** Since when this host has been a representative towards the data centre, or none if it is not. */
    Option<Long> representedSinceMillis = Option.none();

    boolean unresponsive;
    long lastMessageMillis;
    int skippedHosts;
    String dialledHost = "";
    long dialledMillis;

    private List<String> rankingInput = List.of();
    private List<String> ranking = List.of();

    Option<Recipient> summaryRecipient = Option.none();
    Option<RegionSummary> sentSummary = Option.none();
    long summarySentMillis;
    long lastSentMillis;

    RemoteDataCentre(Location location) {
        this.location = location;
    }

    /** Ranks hosts of the data centre for a key that never changes; recomputed only when the hosts change. */
    List<String> rank(List<String> hosts, String key) {
        if (!hosts.equals(rankingInput)) {
            rankingInput = hosts;
            ranking = RendezvousHashing.rank(hosts, key);
        }
        return ranking;
    }

    /** Returns the host to connect to in the data centre: the next in rank after those that were unreachable. */
    Option<String> chooseHost(
            List<String> candidates, int rank, Set<String> connected, long nowMillis, long dialTimeoutMillis) {
        if (candidates.isEmpty()) {
            return Option.none();
        }
        String choice = candidates.get((rank + skippedHosts) % candidates.size());
        if (!choice.equals(dialledHost)) {
            dialledHost = choice;
            dialledMillis = nowMillis;
        }
        if (connected.contains(choice)) {
            dialledMillis = nowMillis;
        } else if (nowMillis - dialledMillis > dialTimeoutMillis) {
            skippedHosts++;
            dialledHost = candidates.get((rank + skippedHosts) % candidates.size());
            dialledMillis = nowMillis;
        }
        return Option.some(dialledHost);
    }

    /** Returns whether its summary is in force: it sends heartbeats, and each change of the summary at once. */
    boolean isHeardFrom(long nowMillis) {
        return nowMillis - lastMessageMillis <= RemoteDataCentres.UNRESPONSIVE_AFTER_MILLIS;
    }

    void stopRepresenting() {
        representedSinceMillis = Option.none();
        unresponsive = false;
        skippedHosts = 0;
        dialledHost = "";
        summaryRecipient = Option.none();
        sentSummary = Option.none();
    }

    /**
     * The process that the summary was sent to last. Immutable and thread safe.
     *
     * @param host its host
     * @param incarnation its start time
     */
    record Recipient(String host, long incarnation) {}
}
