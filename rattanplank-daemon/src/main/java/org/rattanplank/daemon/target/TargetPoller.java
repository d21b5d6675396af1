package org.rattanplank.daemon.target;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.Event;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.route.CacheEvent;
import org.rattanplank.core.route.TargetLoad;
import org.rattanplank.daemon.http.WebCall;
import org.rattanplank.daemon.http.WebReply;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.daemon.runtime.Resources;

/**
 * Asks the targets of this host's region for their load and their cache events.
 *
 * <p>Invariant: each target is asked by one call of a kind at a time. Thread safe.
 */
public final class TargetPoller {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Resources resources;
    private final Directory directory;
    private final String region;
    private final long timeoutMillis;
    private final Set<String> loadsAsked = ConcurrentHashMap.newKeySet();
    private final Set<String> cachesAsked = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> newestCacheEvents = new ConcurrentHashMap<>();

    /**
     * Makes a poller.
     *
     * @param resources what it shares with other parts
     * @param directory knows the targets
     * @param region this host's region
     * @param timeoutMillis when a call is given up
     */
    public TargetPoller(Resources resources, Directory directory, String region, long timeoutMillis) {
        this.resources = resources;
        this.directory = directory;
        this.region = region;
        this.timeoutMillis = timeoutMillis;
    }

    /** Asks every target for its load, unless it still owes an answer. */
    public void pollLoads() {
        for (ListedHost target : directory.targetsOf(region)) {
            if (loadsAsked.add(target.name())) {
                ask(target, "/load", loadsAsked)
                        .thenAccept(reply -> resources.events().raise(loadEvent(target, reply)));
            }
        }
    }

    /** Asks every target for what changed in its cache since it was last asked, unless it still owes an answer. */
    public void pollCaches() {
        for (ListedHost target : directory.targetsOf(region)) {
            if (cachesAsked.add(target.name())) {
                long after = newestCacheEvents.getOrDefault(target.name(), 0L);
                ask(target, "/cache-events?after=" + after, cachesAsked)
                        .thenAccept(reply -> reply.successBody().forEach(body -> takeCacheEvents(target, body)));
            }
        }
    }

    private CompletableFuture<WebReply> ask(ListedHost target, String path, Set<String> asked) {
        return resources
                .client()
                .send(WebCall.get(uriOf(target, path), timeoutMillis))
                .whenComplete((reply, error) -> asked.remove(target.name()));
    }

    private Event loadEvent(ListedHost target, WebReply reply) {
        return reply.successBody()
                .flatMap(body -> Try.of(() -> JSON.readTree(body)).toOption())
                .<Event>map(json -> new Event.LoadReported(loadOf(target, json)))
                .getOrElse(() -> new Event.LoadMissed(target.name()));
    }

    private TargetLoad loadOf(ListedHost target, JsonNode json) {
        List<String> models = new ArrayList<>();
        json.path("models").forEach(model -> models.add(model.asText()));
        return new TargetLoad(
                target.name(),
                json.path("service").asText(target.service()),
                models,
                json.path("running").asInt(),
                json.path("queued").asInt(),
                json.path("slots").asInt(1),
                json.path("tokensPerSecond").asDouble(),
                json.path("cacheTokens").asLong(),
                json.path("leaving").asBoolean(),
                resources.clock().nowMillis()
                        - Math.max(0, json.path("ageMillis").asLong()));
    }

    private void takeCacheEvents(ListedHost target, byte[] body) {
        List<CacheEvent> changes = Try.of(() -> JSON.readTree(body))
                .map(json -> cacheEventsOf(target, json))
                .getOrElse(List::of);
        Option<CacheEvent> newest = io.vavr.collection.List.ofAll(changes).maxBy(CacheEvent::sequence);
        newest.forEach(event -> newestCacheEvents.merge(target.name(), event.sequence(), Math::max));
        if (!changes.isEmpty()) {
            resources.events().raise(new Event.CacheReported(changes));
        }
    }

    private static List<CacheEvent> cacheEventsOf(ListedHost target, JsonNode json) {
        List<CacheEvent> changes = new ArrayList<>();
        for (JsonNode event : json.path("events")) {
            changes.add(new CacheEvent(
                    target.name(),
                    event.path("sequence").asLong(),
                    hashes(event.path("stored")),
                    hashes(event.path("removed"))));
        }
        return changes;
    }

    private static List<Long> hashes(JsonNode array) {
        List<Long> hashes = new ArrayList<>();
        array.forEach(hash -> hashes.add(hash.asLong()));
        return hashes;
    }

    private static URI uriOf(ListedHost target, String path) {
        return URI.create("http://" + target.address() + ":" + target.port() + path);
    }
}
