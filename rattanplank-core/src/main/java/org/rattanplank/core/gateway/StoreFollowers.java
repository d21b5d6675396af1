package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import org.rattanplank.core.host.Rendezvous;

/**
 * Which hosts of a region follow the store, and which of these tells each of the others what it learns.
 *
 * <p>Invariants: hosts that the store answers go before those that it turns away, and among these the larger links first;
 * each other host has one relay, and relays have as many of them as their links bear. Hosts that know the same of each
 * other choose alike. Immutable and thread safe.
 */
public final class StoreFollowers {
    /** Two may be lost at once. */
    public static final int FEWEST = 3;

    /** So many hosts have one follower among them, so that what a follower tells doesn't grow with the region. */
    public static final int HOSTS_PER_FOLLOWER = 10;

    private static final String KEY = "store";

    private final List<String> watchers;
    private final Map<String, String> relays;

    private StoreFollowers(List<String> followers, Map<String, String> relays) {
        this.watchers = List.copyOf(followers);
        this.relays = Map.copyOf(relays);
    }

    /**
     * Chooses followers.
     *
     * @param candidates the hosts of a region that are in touch, each once
     * @return the choice
     */
    public static StoreFollowers of(Collection<Candidate> candidates) {
        List<Candidate> ranked = rank(candidates);
        int count = Math.min(ranked.size(), count(ranked.size()));
        List<Candidate> followers = ranked.subList(0, count);
        Map<String, String> relays = relays(followers, ranked.subList(count, ranked.size()));
        return new StoreFollowers(followers.stream().map(Candidate::name).toList(), relays);
    }

    /**
     * How many hosts of a region follow the store.
     *
     * @param hosts the hosts of the region
     * @return the number, which may be higher than that of the hosts
     */
    static int count(int hosts) {
        return Math.max(FEWEST, (hosts + HOSTS_PER_FOLLOWER - 1) / HOSTS_PER_FOLLOWER);
    }

    /**
     * Whether a host follows the store.
     *
     * @param host its name
     * @return whether it does
     */
    public boolean follows(String host) {
        return watchers.contains(host);
    }

    /**
     * The host that tells another one what it learns.
     *
     * @param host the name of a host that doesn't follow the store
     * @return the name of its relay, or none if it is not one of the candidates
     */
    public Option<String> relayFor(String host) {
        return Option.of(relays.get(host));
    }

    /**
     * How many followers go before one where several could tell a host what it lacks.
     *
     * @param follower the name of the follower
     * @return the number; that of all followers if it is none
     */
    public int turn(String follower) {
        int at = watchers.indexOf(follower);
        return at < 0 ? watchers.size() : at;
    }

    private static List<Candidate> rank(Collection<Candidate> candidates) {
        List<String> names = candidates.stream().map(Candidate::name).toList();
        Map<String, Integer> order = new HashMap<>();
        Rendezvous.rank(names, KEY).forEach(name -> order.put(name, order.size()));
        List<Candidate> ranked = new ArrayList<>(candidates);
        ranked.sort(Comparator.comparing(Candidate::answeredByStore)
                .thenComparing(Candidate::linkBytesPerMilli)
                .reversed()
                .thenComparing(candidate -> order.get(candidate.name())));
        return ranked;
    }

    private static Map<String, String> relays(List<Candidate> followers, List<Candidate> others) {
        Map<String, String> relays = new HashMap<>();
        int[] told = new int[followers.size()];
        for (Candidate other : others) {
            int least = 0;
            for (int i = 1; i < told.length; i++) {
                if (relayLoad(followers.get(i), told[i]) < relayLoad(followers.get(least), told[least])) {
                    least = i;
                }
            }
            told[least]++;
            relays.put(other.name(), followers.get(least).name());
        }
        return relays;
    }

    /** What one more host would make of a follower's work, against its link. */
    private static double relayLoad(Candidate follower, int told) {
        return (told + 1) / (double) Math.max(1, follower.linkBytesPerMilli());
    }

    /**
     * A host that could follow the store. Immutable and thread safe.
     *
     * @param name its name
     * @param answeredByStore whether the store answers it
     * @param linkBytesPerMilli what its link takes, zero if it doesn't say
     */
    public record Candidate(String name, boolean answeredByStore, long linkBytesPerMilli) {
        public Candidate {
            if (linkBytesPerMilli < 0) {
                throw new IllegalArgumentException("a link of " + linkBytesPerMilli + " bytes/ms");
            }
        }
    }
}
