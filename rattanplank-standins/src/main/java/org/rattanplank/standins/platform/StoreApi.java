package org.rattanplank.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * The store's published JSON API over a {@link KeyValueStore}.
 *
 * <p>Invariant: a call that gets an injected fault takes effect completely or not at all. Not thread safe: confined to the
 * platform's thread.
 */
final class StoreApi {
    private static final String PREFIX = "/v3/";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final EventLoop loop;
    private final KeyValueStore store = KeyValueStore.of(this::notifyWatchers);
    private final List<Watcher> watchers = new ArrayList<>();
    private final CallCounts counts;
    private Faults faults;
    private List<StoredValue> staleSnapshot = List.of();

    StoreApi(EventLoop loop, CallCounts counts, Faults faults) {
        this.loop = loop;
        this.counts = counts;
        this.faults = faults;
    }

    static boolean handlesPath(String path) {
        return path.startsWith(PREFIX);
    }

    Faults faults() {
        return faults;
    }

    void faults(Faults newFaults) {
        if (newFaults.staleReads() && !faults.staleReads()) {
            staleSnapshot = store.range(new KeyRange("", "\0"));
        }
        faults = newFaults;
        if (newFaults.isStoreDown()) {
            List.copyOf(watchers).forEach(watcher -> watcher.exchange().reset());
            watchers.clear();
        }
    }

    void expire(long nowMillis) {
        if (!faults.isStoreDown()) {
            store.expireLeases(nowMillis);
        }
    }

    void handle(Exchange exchange) {
        counts.increment(exchange.path().substring(PREFIX.length()));
        if (faults.isStoreDown()) {
            exchange.reset();
        } else if (faults.slowMillis() > 0) {
            loop.schedule(faults.slowMillis(), () -> dispatch(exchange));
        } else {
            dispatch(exchange);
        }
    }

    private void dispatch(Exchange exchange) {
        JsonNode call = exchange.jsonBody();
        long nowMillis = System.currentTimeMillis();
        store.expireLeases(nowMillis);
        switch (exchange.path()) {
            case "/v3/kv/range" -> exchange.respond(200, range(call));
            case "/v3/kv/put" -> respondToWrite(exchange, put(call));
            case "/v3/kv/deleterange" -> respondToWrite(exchange, delete(call));
            case "/v3/kv/txn" -> transaction(exchange, call);
            case "/v3/lease/grant" -> respondToWrite(exchange, grantLease(call, nowMillis));
            case "/v3/lease/keepalive" -> respondToWrite(exchange, renewLease(call, nowMillis));
            case "/v3/lease/revoke", "/v3/kv/lease/revoke" -> revokeLease(exchange, call);
            case "/v3/watch" -> watch(exchange, call);
            default -> exchange.respond(404, error("no such call"));
        }
    }

    /** Responds to a write that took effect, unless the response is to be lost. */
    private void respondToWrite(Exchange exchange, ObjectNode response) {
        if (response.has("error")) {
            exchange.respond(400, response);
        } else if (faults.responsesToLose() > 0) {
            faults = faults.withOneLostResponseFewer();
            exchange.reset();
        } else {
            exchange.respond(200, response);
        }
    }

    private ObjectNode range(JsonNode call) {
        KeyRange range = StoreJson.range(call);
        List<StoredValue> found = faults.staleReads()
                ? staleSnapshot.stream()
                        .filter(value -> range.contains(value.key()))
                        .toList()
                : store.range(range);
        ObjectNode response = StoreJson.header(store.revision());
        if (!found.isEmpty()) {
            response.set("kvs", StoreJson.values(found));
        }
        StoreJson.putNumber(response, "count", found.size());
        return response;
    }

    private ObjectNode put(JsonNode call) {
        boolean written = store.put(
                StoreJson.decodeText(call, "key"),
                StoreJson.decodeText(call, "value"),
                call.path("lease").asLong());
        return written ? StoreJson.header(store.revision()) : error("requested lease not found");
    }

    private ObjectNode delete(JsonNode call) {
        int deleted = store.delete(StoreJson.range(call));
        ObjectNode response = StoreJson.header(store.revision());
        StoreJson.putNumber(response, "deleted", deleted);
        return response;
    }

    private void transaction(Exchange exchange, JsonNode call) {
        boolean holds = true;
        for (JsonNode condition : call.path("compare")) {
            holds &= CompareTarget.holds(condition, store.get(StoreJson.decodeText(condition, "key")));
        }
        ArrayNode responses = Json.array();
        for (JsonNode operation : call.path(holds ? "success" : "failure")) {
            responses.add(applyOperation(operation));
        }
        ObjectNode response = StoreJson.header(store.revision());
        if (holds) {
            response.put("succeeded", true);
        }
        response.set("responses", responses);
        respondToWrite(exchange, response);
    }

    private ObjectNode applyOperation(JsonNode operation) {
        if (operation.has("request_put") || operation.has("requestPut")) {
            return Json.object()
                    .set("response_put", put(StoreJson.eitherField(operation, "request_put", "requestPut")));
        }
        if (operation.has("request_delete_range") || operation.has("requestDeleteRange")) {
            JsonNode delete = StoreJson.eitherField(operation, "request_delete_range", "requestDeleteRange");
            return Json.object().set("response_delete_range", delete(delete));
        }
        JsonNode range = StoreJson.eitherField(operation, "request_range", "requestRange");
        return Json.object().set("response_range", range(range));
    }

    private ObjectNode grantLease(JsonNode call, long nowMillis) {
        long ttlMillis = call.path("TTL").asLong() * MILLIS_PER_SECOND;
        return leaseFields(store.grantLease(call.path("ID").asLong(), ttlMillis, nowMillis));
    }

    private ObjectNode renewLease(JsonNode call, long nowMillis) {
        long id = call.path("ID").asLong();
        ObjectNode expired = StoreJson.header(store.revision()).put("ID", Long.toString(id));
        return Json.object()
                .set(
                        "result",
                        store.renewLease(id, nowMillis).map(this::leaseFields).getOrElse(expired));
    }

    private ObjectNode leaseFields(Lease lease) {
        ObjectNode response = StoreJson.header(store.revision());
        response.put("ID", Long.toString(lease.id()));
        return response.put("TTL", Long.toString(lease.ttlMillis() / MILLIS_PER_SECOND));
    }

    private void revokeLease(Exchange exchange, JsonNode call) {
        boolean revoked = store.revokeLease(call.path("ID").asLong());
        respondToWrite(exchange, revoked ? StoreJson.header(store.revision()) : error("requested lease not found"));
    }

    private void watch(Exchange exchange, JsonNode call) {
        JsonNode create = StoreJson.eitherField(call, "create_request", "createRequest");
        long from =
                StoreJson.eitherField(create, "start_revision", "startRevision").asLong();
        exchange.startStream("application/json", Map.of());
        ObjectNode created = StoreJson.header(store.revision()).put("created", true);
        if (from > 0 && from <= store.compactedRevision()) {
            created.put("canceled", true).put("compact_revision", Long.toString(store.compactedRevision() + 1));
            exchange.sendChunk(line(created));
            exchange.endStream();
            return;
        }
        exchange.sendChunk(line(created));
        Watcher watcher = new Watcher(exchange, StoreJson.range(create));
        watchers.add(watcher);
        exchange.onClose(() -> watchers.remove(watcher));
        if (from > 0) {
            store.changesSince(from).forEach(change -> sendEvent(watcher, change));
        }
    }

    private void notifyWatchers(StoredValue change) {
        watchers.forEach(watcher -> sendEvent(watcher, change));
    }

    private void sendEvent(Watcher watcher, StoredValue change) {
        if (faults.silentWatches() || !watcher.range().contains(change.key())) {
            return;
        }
        ObjectNode notification = StoreJson.header(change.modRevision());
        notification.set("events", Json.array().add(StoreJson.event(change)));
        watcher.exchange().sendChunk(line(notification));
    }

    private static String line(ObjectNode result) {
        return Json.write(Json.object().set("result", result)) + "\n";
    }

    private static ObjectNode error(String message) {
        return Json.object().put("error", message).put("code", 5);
    }

    private record Watcher(Exchange exchange, KeyRange range) {}
}
