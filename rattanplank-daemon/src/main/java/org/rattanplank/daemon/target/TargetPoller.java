package org.rattanplank.daemon.target;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import org.rattanplank.core.Event;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.route.CacheEvent;
import org.rattanplank.core.route.TargetLoad;
import org.rattanplank.daemon.http.JsonBody;
import org.rattanplank.daemon.http.WebRequest;
import org.rattanplank.daemon.http.WebResult;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.daemon.runtime.IoResources;

/**
 * Polls the targets of this host's region for their load and their cache events.
 *
 * <p>Invariant: at most one call of each kind is in flight for a target. Thread safe.
 */
public final class TargetPoller {
    private final IoResources resources;
    private final Directory directory;
    private final String region;
    private final long timeoutMillis;
    private final Set<String> loadPollsInFlight = ConcurrentHashMap.newKeySet();
    private final Set<String> cachePollsInFlight = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> lastCacheSequences = new ConcurrentHashMap<>();

    /**
     * Creates a poller.
     *
     * @param resources the resources shared with other components
     * @param directory resolves the targets of a region
     * @param region this host's region
     * @param timeoutMillis timeout of a call
     */
    public TargetPoller(IoResources resources, Directory directory, String region, long timeoutMillis) {
        this.resources = resources;
        this.directory = directory;
        this.region = region;
        this.timeoutMillis = timeoutMillis;
    }

    /** Requests the load of every target that has no load request in flight. */
    public void pollLoads() {
        for (ListedHost target : directory.targetsInRegion(region)) {
            if (loadPollsInFlight.add(target.name())) {
                poll(target, "/load", loadPollsInFlight)
                        .thenAccept(result -> resources.eventSink().raise(loadEvent(target, result)));
            }
        }
    }

    /** Requests the cache events since the last one received from every target that has no such request in flight. */
    public void pollCaches() {
        for (ListedHost target : directory.targetsInRegion(region)) {
            if (cachePollsInFlight.add(target.name())) {
                long lastSequence = lastCacheSequences.getOrDefault(target.name(), 0L);
                poll(target, "/cache-events?after=" + lastSequence, cachePollsInFlight)
                        .thenAccept(result -> result.successBody().forEach(body -> takeCacheEvents(target, body)));
            }
        }
    }

    private CompletableFuture<WebResult> poll(ListedHost target, String path, Set<String> inFlight) {
        return resources
                .webClient()
                .send(WebRequest.get(uriOf(target, path), timeoutMillis))
                .whenComplete((result, error) -> inFlight.remove(target.name()));
    }

    private Event loadEvent(ListedHost target, WebResult result) {
        return result.successBody()
                .flatMap(body -> JsonBody.readObject(body).toOption())
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
        List<CacheEvent> changes = JsonBody.readObject(body)
                .map(json -> cacheEventsOf(target, json))
                .getOrElse(List::of);
        Option<CacheEvent> newest = io.vavr.collection.List.ofAll(changes).maxBy(CacheEvent::sequence);
        newest.forEach(event -> lastCacheSequences.merge(target.name(), event.sequence(), Math::max));
        if (!changes.isEmpty()) {
            resources.eventSink().raise(new Event.CacheReported(changes));
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
