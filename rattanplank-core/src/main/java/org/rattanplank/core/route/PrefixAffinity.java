package org.rattanplank.core.route;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.vavr.control.Option;
import org.rattanplank.core.host.RendezvousHashing;

/**
 * Assigns prompts with a common prefix to a target: the one that the prefix was last sent to, else the one that
 * rendezvous hashing assigns, so that hosts agree without communication.
 *
 * <p>Invariant: at most {@link #MAX_PREFIXES} prefixes are held; the least recently used are evicted first. Guarded by
 * the router's lock.
 */
final class PrefixAffinity {
    static final int MAX_PREFIXES = 16_384;

    private final Map<Long, Target> lastTargets = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Target> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    int prefixCount() {
        return lastTargets.size();
    }

    void recordPrompt(List<Long> prefixes, Target target) {
        for (Long prefix : prefixes) {
            lastTargets.put(prefix, target);
        }
    }

    /** Returns the longest prefix that was sent before, or the shortest prefix if none was. */
    Option<Long> affinityKey(List<Long> prefixes) {
        for (int i = prefixes.size() - 1; i > 0; i--) {
            if (lastTargets.containsKey(prefixes.get(i))) {
                return Option.some(prefixes.get(i));
            }
        }
        return prefixes.isEmpty() ? Option.none() : Option.some(prefixes.get(0));
    }

    Option<Target> lastTarget(Long prefix) {
        return Option.of(lastTargets.get(prefix));
    }

    /**
     * Returns the first two selectable targets in rendezvous order, in one pass that tests only targets that rank high
     * enough.
     *
     * @param targets the targets
     * @param seeds the seeds of the targets, in the same order
     * @param key the prefix
     * @param isSelectable whether a target may be chosen
     * @return at most two targets, in rendezvous order
     */
    static List<Target> firstTwo(Target[] targets, long[] seeds, long key, Predicate<Target> isSelectable) {
        int first = -1;
        int second = -1;
        long firstRank = Long.MIN_VALUE;
        long secondRank = Long.MIN_VALUE;
        for (int i = 0; i < seeds.length; i++) {
            long rank = RendezvousHashing.score(seeds[i], key);
            if (rank <= secondRank || !isSelectable.test(targets[i])) {
                continue;
            }
            if (rank > firstRank) {
                second = first;
                secondRank = firstRank;
                first = i;
                firstRank = rank;
            } else {
                second = i;
                secondRank = rank;
            }
        }
        if (first < 0) {
            return List.of();
        }
        return second < 0 ? List.of(targets[first]) : List.of(targets[first], targets[second]);
    }
}
