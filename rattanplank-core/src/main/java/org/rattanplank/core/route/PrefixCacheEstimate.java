package org.rattanplank.core.route;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the contents of one target's prefix cache from the prompts sent there and the target's cache events.
 *
 * <p>Invariant: the estimated tokens never exceed the cache size that the engine reports, and at most
 * {@link #MAX_PREFIXES} prefixes are held; the least recently used are evicted first. Guarded by the router's lock.
 */
final class PrefixCacheEstimate {
    static final int MAX_PREFIXES = 512;

    /** The number of tokens assumed for a prefix that is known only from a cache event. */
    private static final int DEFAULT_TOKENS = 256;

    private static final double GAP_CONFIDENCE_FACTOR = 0.5;
    private static final double EVENT_CONFIDENCE_GAIN = 0.2;
    private static final double MIN_CONFIDENCE = 0.1;

    private final LinkedHashMap<Long, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private long tokens;
    private long maxTokens = Long.MAX_VALUE;
    private long lastSequence;
    private double confidence = 1;

    long tokens() {
        return tokens;
    }

    int prefixCount() {
        return tokensByPrefix.size();
    }

    void limitTokens(long cacheTokens) {
        maxTokens = cacheTokens;
        evict();
    }

    /**
     * Estimates how many tokens of a prompt are cached and need no prefill.
     *
     * @param prefixes hashes of the prompt's prefixes, shortest first
     * @param promptTokens the prompt's tokens
     * @return the estimated cached tokens, multiplied by the confidence of the estimate
     */
    double cachedTokens(List<Long> prefixes, int promptTokens) {
        int depth = 0;
        while (depth < prefixes.size() && tokensByPrefix.containsKey(prefixes.get(depth))) {
            depth++;
        }
        return depth == 0 ? 0 : confidence * promptTokens * depth / prefixes.size();
    }

    /** Records a prompt that was sent to the target, which caches it. */
    void recordPrompt(List<Long> prefixes, int promptTokens) {
        int tokensPerPrefix = prefixes.isEmpty() ? 0 : Math.max(1, promptTokens / prefixes.size());
        // Longest prefix first, so that the prefixes shared by many prompts are evicted last.
        for (int i = prefixes.size() - 1; i >= 0; i--) {
            put(prefixes.get(i), tokensPerPrefix);
        }
        evict();
    }

    void applyEvent(CacheEvent event) {
        if (event.sequence() == 1 && lastSequence > 0) {
            // The target restarted and its event numbers begin at one again. Without the reset its events would be
            // ignored as old until they pass the previous number, and prompts would be routed to an emptied cache.
            clear();
        }
        if (event.sequence() <= lastSequence) {
            return;
        }
        boolean hasGap = lastSequence > 0 && event.sequence() > lastSequence + 1;
        lastSequence = event.sequence();
        if (hasGap) {
            reduceConfidence();
        } else {
            confidence += (1 - confidence) * EVENT_CONFIDENCE_GAIN;
        }
        for (Long prefix : event.stored()) {
            put(prefix, tokensByPrefix.getOrDefault(prefix, DEFAULT_TOKENS));
        }
        for (Long prefix : event.removed()) {
            Integer removedTokens = tokensByPrefix.remove(prefix);
            tokens -= removedTokens == null ? 0 : removedTokens;
        }
        evict();
    }

    /** Reduces the confidence: events are missing, or the target does not respond and may have restarted. */
    void reduceConfidence() {
        confidence = Math.max(MIN_CONFIDENCE, confidence * GAP_CONFIDENCE_FACTOR);
    }

    void clear() {
        tokensByPrefix.clear();
        tokens = 0;
        lastSequence = 0;
        confidence = 1;
    }

    private void put(Long prefix, int prefixTokens) {
        Integer previous = tokensByPrefix.put(prefix, prefixTokens);
        tokens += prefixTokens - (previous == null ? 0 : previous);
    }

    private void evict() {
        Iterator<Map.Entry<Long, Integer>> eldest = tokensByPrefix.entrySet().iterator();
        while (eldest.hasNext() && (tokens > maxTokens || tokensByPrefix.size() > MAX_PREFIXES)) {
            tokens -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
