package org.rattanplank.standins.target;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Json;

/**
 * An engine's bounded cache of prompt prefixes, which publishes its events with a lag and with gaps.
 *
 * <p>Invariant: the cached tokens stay within the bound; the least recently used block is evicted first. Confined to the
 * targets' thread.
 */
final class PrefixCache {
    private static final int MAX_PUBLISHED_EVENTS = 2_000;

    private final EventLoop loop;
    private final TargetOptions options;
    private final Map<Long, Integer> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<ObjectNode> publishedEvents = new ArrayList<>();
    private long cachedTokens;
    private long lastSequence;

    PrefixCache(EventLoop loop, TargetOptions options) {
        this.loop = loop;
        this.options = options;
    }

    long cachedTokens() {
        return cachedTokens;
    }

    /** Inserts a prompt and returns how many of its tokens were cached already. */
    int lookupAndInsert(PromptPrefixes prompt) {
        int hitTokens = 0;
        for (long hash : prompt.hashes()) {
            if (blocks.get(hash) == null) {
                break;
            }
            hitTokens += prompt.tokensPerBlock();
        }
        insert(prompt);
        return Math.min(hitTokens, prompt.tokens());
    }

    ObjectNode eventsAfter(long after) {
        ArrayNode events = Json.array();
        publishedEvents.stream()
                .filter(event -> event.path("sequence").asLong() > after)
                .forEach(events::add);
        return Json.object().set("events", events);
    }

    private void insert(PromptPrefixes prompt) {
        ArrayNode stored = Json.array();
        ArrayNode removed = Json.array();
        for (long hash : prompt.hashes()) {
            if (blocks.put(hash, prompt.tokensPerBlock()) == null) {
                cachedTokens += prompt.tokensPerBlock();
                stored.add(hash);
            }
        }
        Iterator<Map.Entry<Long, Integer>> eldest = blocks.entrySet().iterator();
        while (cachedTokens > options.cacheTokens && eldest.hasNext()) {
            Map.Entry<Long, Integer> block = eldest.next();
            cachedTokens -= block.getValue();
            removed.add(block.getKey());
            eldest.remove();
        }
        if (!stored.isEmpty() || !removed.isEmpty()) {
            publish(stored, removed);
        }
    }

    private void publish(ArrayNode stored, ArrayNode removed) {
        lastSequence++;
        if (options.cacheGapEvery > 0 && lastSequence % options.cacheGapEvery == 0) {
            return;
        }
        ObjectNode event = Json.object().put("sequence", lastSequence);
        event.set("stored", stored);
        event.set("removed", removed);
        loop.schedule(options.cacheLagMillis, () -> appendEvent(event));
    }

    private void appendEvent(ObjectNode event) {
        publishedEvents.add(event);
        if (publishedEvents.size() > MAX_PUBLISHED_EVENTS) {
            publishedEvents.remove(0);
        }
    }
}
