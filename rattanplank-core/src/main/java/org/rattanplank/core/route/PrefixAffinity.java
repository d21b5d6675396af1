package org.rattanplank.core.route;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.vavr.control.Option;
import org.rattanplank.core.host.Rendezvous;

/**
 * Where prompts with a common prefix go: to the target that had the prefix last, else by rendezvous hashing, so that
 * hosts agree without a word between them.
 *
 * <p>Invariant: at most {@link #MAX_PREFIXES} prefixes are held; the least recently used go first. Confined to the
 * router's lock.
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

    int prefixes() {
        return lastTargets.size();
    }

    void sent(List<Long> prefixes, Target target) {
        for (Long prefix : prefixes) {
            lastTargets.put(prefix, target);
        }
    }

    /** Finds the longest prefix that was seen before, or the shortest if none was. */
    Option<Long> key(List<Long> prefixes) {
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
     * Finds the first two in rendezvous order among the targets that may be chosen, in one pass that touches few targets.
     *
     * @param targets the targets
     * @param seeds the seeds of the targets, in the same order
     * @param key the prefix
     * @param mayBeChosen whether a target may be chosen
     * @return at most two targets, the first in rendezvous order first
     */
    static List<Target> firstTwo(Target[] targets, long[] seeds, long key, Predicate<Target> mayBeChosen) {
        int first = -1;
        int second = -1;
        long firstRank = Long.MIN_VALUE;
        long secondRank = Long.MIN_VALUE;
        for (int i = 0; i < seeds.length; i++) {
            long rank = Rendezvous.mix(key ^ seeds[i]);
            if (rank <= secondRank || !mayBeChosen.test(targets[i])) {
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
