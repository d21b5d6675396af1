package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import org.rattanplank.core.host.RendezvousHashing;

/**
 * Determines which hosts of a region watch the store, and which of these relays its contents to each of the others.
 *
 * <p>Invariants: hosts that the store answers go before those that it rejects, and among these the larger links first;
 * each other host has one relay, and relays get as many of them as their links can serve. Hosts with the same view
 * choose alike. Immutable and thread safe.
 */
public final class StoreWatchers {
    /** Two watchers may fail at once. */
    public static final int MIN_WATCHERS = 3;

    /** One watcher for so many hosts, so that what a watcher relays doesn't grow with the region. */
    public static final int HOSTS_PER_WATCHER = 10;

    private static final String KEY = "store";

    private final List<String> watchers;
    private final Map<String, String> relays;

    private StoreWatchers(List<String> watchers, Map<String, String> relays) {
        this.watchers = List.copyOf(watchers);
        this.relays = Map.copyOf(relays);
    }

    /**
     * Chooses watchers.
     *
     * @param candidates the hosts of a region that are connected, each once
     * @return the choice
     */
    public static StoreWatchers of(Collection<Candidate> candidates) {
        List<Candidate> ranked = rank(candidates);
        int count = Math.min(ranked.size(), count(ranked.size()));
        List<Candidate> watchers = ranked.subList(0, count);
        Map<String, String> relays = relays(watchers, ranked.subList(count, ranked.size()));
        return new StoreWatchers(watchers.stream().map(Candidate::name).toList(), relays);
    }

    /**
     * Returns how many hosts of a region watch the store.
     *
     * @param hosts the number of hosts of the region
     * @return the number, which may exceed that of the hosts
     */
    static int count(int hosts) {
        return Math.max(MIN_WATCHERS, (hosts + HOSTS_PER_WATCHER - 1) / HOSTS_PER_WATCHER);
    }

    /**
     * Returns whether a host watches the store.
     *
     * @param host its name
     * @return whether it does
     */
    public boolean isWatcher(String host) {
        return watchers.contains(host);
    }

    /**
     * Returns the host that relays the store's contents to another one.
     *
     * @param host the name of a host that doesn't watch the store
     * @return the name of its relay, or none if it is not one of the candidates
     */
    public Option<String> relayFor(String host) {
        return Option.of(relays.get(host));
    }

    /**
     * Returns how many watchers go before one, where several could send a host what it lacks.
     *
     * @param watcher the name of the watcher
     * @return the number; that of all watchers if it is none
     */
    public int position(String watcher) {
        int index = watchers.indexOf(watcher);
        return index < 0 ? watchers.size() : index;
    }

    private static List<Candidate> rank(Collection<Candidate> candidates) {
        List<String> names = candidates.stream().map(Candidate::name).toList();
        Map<String, Integer> order = new HashMap<>();
        RendezvousHashing.rank(names, KEY).forEach(name -> order.put(name, order.size()));
        List<Candidate> ranked = new ArrayList<>(candidates);
        ranked.sort(Comparator.comparing(Candidate::storeReachable)
                .thenComparing(Candidate::linkBytesPerMilli)
                .reversed()
                .thenComparing(candidate -> order.get(candidate.name())));
        return ranked;
    }

    private static Map<String, String> relays(List<Candidate> watchers, List<Candidate> hosts) {
        Map<String, String> relays = new HashMap<>();
        int[] served = new int[watchers.size()];
        for (Candidate host : hosts) {
            int idlest = 0;
            for (int i = 1; i < served.length; i++) {
                if (relayLoad(watchers.get(i), served[i]) < relayLoad(watchers.get(idlest), served[idlest])) {
                    idlest = i;
                }
            }
            served[idlest]++;
            relays.put(host.name(), watchers.get(idlest).name());
        }
        return relays;
    }

    /** Returns the load of a watcher with one more host, relative to its link. */
    private static double relayLoad(Candidate watcher, int served) {
        return (served + 1) / (double) Math.max(1, watcher.linkBytesPerMilli());
    }

    /**
     * A host that could watch the store. Immutable and thread safe.
     *
     * @param name its name
     * @param storeReachable whether the store answers it
     * @param linkBytesPerMilli the bandwidth of its link, zero if not reported
     */
    public record Candidate(String name, boolean storeReachable, long linkBytesPerMilli) {
        public Candidate {
            if (linkBytesPerMilli < 0) {
                throw new IllegalArgumentException("negative link rate: " + linkBytesPerMilli + " bytes/ms");
            }
        }
    }
}
