package org.rattanplank.core.gateway;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts a target has cached: those that were sent there last.
 *
 * <p>Invariant: at most {@link #MAX_PARTS} parts are tracked, and their tokens are at most a bound; the least recently
 * used are evicted first. Confined to its owner's thread.
 */
final class CachedPromptParts {
    /** Bounds memory: some 100 bytes a part and 20 targets a region take 2 MB. */
    static final int MAX_PARTS = 1_000;

    private final LinkedHashMap<String, Integer> tokensById = new LinkedHashMap<>(64, 0.75f, true);
    private long tokens;

    int cachedTokens(List<PromptPart> parts) {
        int cached = 0;
        for (PromptPart part : parts) {
            if (!tokensById.containsKey(part.id())) {
                return cached;
            }
            cached += part.tokens();
        }
        return cached;
    }

    void recordSent(List<PromptPart> parts, long maxTokens) {
        for (int i = parts.size() - 1; i >= 0; i--) {
            PromptPart part = parts.get(i);
            Integer previous = tokensById.put(part.id(), part.tokens());
            tokens += part.tokens() - (previous == null ? 0 : previous);
        }
        Iterator<Map.Entry<String, Integer>> eldest = tokensById.entrySet().iterator();
        while (eldest.hasNext() && (tokens > maxTokens || tokensById.size() > MAX_PARTS)) {
            tokens -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
