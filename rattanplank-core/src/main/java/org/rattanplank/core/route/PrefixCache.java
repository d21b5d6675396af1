package org.rattanplank.core.route;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one target is believed to have in its prefix cache: what was sent there, corrected by its cache events.
 *
 * <p>Invariant: the believed tokens never exceed what the engine says its cache holds, and at most {@link #MAX_PREFIXES}
 * prefixes are held; the least recently used go first. Confined to the router's lock.
 */
final class PrefixCache {
    static final int MAX_PREFIXES = 512;

    /** The tokens of a prefix that is known from an event alone. */
    private static final int DEFAULT_TOKENS = 256;

    private static final double DOUBT_OF_GAP = 0.5;
    private static final double TRUST_OF_EVENT = 0.2;
    private static final double LOWEST_CONFIDENCE = 0.1;

    private final LinkedHashMap<Long, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private long tokens;
    private long maxTokens = Long.MAX_VALUE;
    private long lastSequence;
    private double confidence = 1;

    long tokens() {
        return tokens;
    }

    int prefixes() {
        return tokensByPrefix.size();
    }

    void holdsAtMost(long cacheTokens) {
        maxTokens = cacheTokens;
        evict();
    }

    /**
     * Estimates how many tokens of a prompt need not be computed.
     *
     * @param prefixes hashes of the prompt's prefixes, shortest first
     * @param promptTokens the prompt's tokens
     * @return the tokens that are believed cached, times the confidence in the belief
     */
    double cachedTokens(List<Long> prefixes, int promptTokens) {
        int depth = 0;
        while (depth < prefixes.size() && tokensByPrefix.containsKey(prefixes.get(depth))) {
            depth++;
        }
        return depth == 0 ? 0 : confidence * promptTokens * depth / prefixes.size();
    }

    /** Takes note that a prompt went to the target, which caches it. */
    void sent(List<Long> prefixes, int promptTokens) {
        int each = prefixes.isEmpty() ? 0 : Math.max(1, promptTokens / prefixes.size());
        // From the longest to the shortest, so that what many prompts share is evicted last.
        for (int i = prefixes.size() - 1; i >= 0; i--) {
            put(prefixes.get(i), each);
        }
        evict();
    }

    void changed(CacheEvent event) {
        if (event.sequence() == 1 && lastSequence > 0) {
            // The target restarted and counts anew: without this, its events would be passed over as old until they
            // outnumber the earlier ones, and prompts would go to a cache that is long gone.
            clear();
        }
        if (event.sequence() <= lastSequence) {
            return;
        }
        boolean gap = lastSequence > 0 && event.sequence() > lastSequence + 1;
        lastSequence = event.sequence();
        if (gap) {
            doubt();
        } else {
            confidence += (1 - confidence) * TRUST_OF_EVENT;
        }
        for (Long prefix : event.stored()) {
            put(prefix, tokensByPrefix.getOrDefault(prefix, DEFAULT_TOKENS));
        }
        for (Long prefix : event.removed()) {
            Integer gone = tokensByPrefix.remove(prefix);
            tokens -= gone == null ? 0 : gone;
        }
        evict();
    }

    /** Trusts the belief less: events are missing, or the target does not answer and may have restarted. */
    void doubt() {
        confidence = Math.max(LOWEST_CONFIDENCE, confidence * DOUBT_OF_GAP);
    }

    void clear() {
        tokensByPrefix.clear();
        tokens = 0;
        lastSequence = 0;
        confidence = 1;
    }

    private void put(Long prefix, int prefixTokens) {
        Integer before = tokensByPrefix.put(prefix, prefixTokens);
        tokens += prefixTokens - (before == null ? 0 : before);
    }

    private void evict() {
        Iterator<Map.Entry<Long, Integer>> eldest = tokensByPrefix.entrySet().iterator();
        while (eldest.hasNext() && (tokens > maxTokens || tokensByPrefix.size() > MAX_PREFIXES)) {
            tokens -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
