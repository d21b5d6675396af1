package org.rattanplank.core.member;

import java.util.List;
import java.util.Set;

import io.vavr.control.Option;
import org.rattanplank.core.host.Place;
import org.rattanplank.core.host.Rendezvous;
import org.rattanplank.schema.message.RegionSummary;

/** What a host knows of another data centre, and what it told that one. Not thread safe. */
final class Centre {
    final Place place;
    Option<RegionSummary> summary = Option.none();
    long summaryMillis;
    boolean reachable = true;

    /** Who of the own data centre speaks to this one, best first. */
    List<String> speakers = List.of();

    /** Since when this host has spoken to the data centre, or none if it does not. */
    Option<Long> speaksSinceMillis = Option.none();

    boolean silent;
    long heardMillis;
    int skipped;
    String dialled = "";
    long dialledMillis;

    private List<String> rankedHosts = List.of();
    private List<String> ranked = List.of();

    String toldProcess = "";
    Option<RegionSummary> told = Option.none();
    long toldMillis;
    long beatMillis;

    Centre(Place place) {
        this.place = place;
    }

    /** Ranks hosts of the data centre for a key, which never changes; ranks anew only when the hosts change. */
    List<String> rank(List<String> hosts, String key) {
        if (!hosts.equals(rankedHosts)) {
            rankedHosts = hosts;
            ranked = Rendezvous.rank(hosts, key);
        }
        return ranked;
    }

    /** Finds the host that this host dials there: the next in rank after those that could not be reached. */
    Option<String> choose(List<String> candidates, int rank, Set<String> linked, long nowMillis, long patienceMillis) {
        if (candidates.isEmpty()) {
            return Option.none();
        }
        String choice = candidates.get((rank + skipped) % candidates.size());
        if (!choice.equals(dialled)) {
            dialled = choice;
            dialledMillis = nowMillis;
        }
        if (linked.contains(choice)) {
            dialledMillis = nowMillis;
        } else if (nowMillis - dialledMillis > patienceMillis) {
            skipped++;
            dialled = candidates.get((rank + skipped) % candidates.size());
            dialledMillis = nowMillis;
        }
        return Option.some(dialled);
    }

    void stopSpeaking() {
        speaksSinceMillis = Option.none();
        silent = false;
        skipped = 0;
        dialled = "";
        toldProcess = "";
        told = Option.none();
    }
}
