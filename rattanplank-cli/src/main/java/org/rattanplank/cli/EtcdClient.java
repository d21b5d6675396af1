package org.rattanplank.cli;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;

/**
 * Calls the platform's store with the etcd v3 JSON API over HTTP.
 *
 * <p>Invariant: a write is reported as {@link StoreReply.Unavailable} only if it definitely had no effect. Thread safe.
 */
final class EtcdClient implements StoreClient {
    private final String address;
    private final JsonHttpClient web;

    private EtcdClient(String address, JsonHttpClient web) {
        this.address = address;
        this.web = web;
    }

    static EtcdClient of(String address, Duration timeout) {
        return new EtcdClient(address, JsonHttpClient.of(timeout));
    }

    @Override
    public StoreReply call(StoreCommand command) {
        if (command instanceof StoreCommand.Get get) {
            return get(get.key());
        }
        if (command instanceof StoreCommand.Put put) {
            return put(put);
        }
        throw new IllegalArgumentException("unsupported store command: " + command);
    }

    private StoreReply get(String key) {
        ObjectNode range = JsonHttpClient.JSON.createObjectNode().put("key", base64(key));
        return web.post(address, "/v3/kv/range", range.toString())
                .fold(
                        failure -> new StoreReply.Unavailable(failure.reason()),
                        response -> response.isSuccess() ? found(response.body()) : unavailable(response));
    }

    private StoreReply put(StoreCommand.Put put) {
        String key = base64(put.key());
        ObjectNode condition = JsonHttpClient.JSON
                .createObjectNode()
                .put("key", key)
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(put.expectedModRevision()));
        ObjectNode write = JsonHttpClient.JSON.createObjectNode();
        write.putObject("request_put").put("key", key).put("value", base64(put.value()));
        ObjectNode read = JsonHttpClient.JSON.createObjectNode();
        read.putObject("request_range").put("key", key);
        ObjectNode transaction = JsonHttpClient.JSON.createObjectNode();
        transaction.putArray("compare").add(condition);
        transaction.putArray("success").add(write);
        transaction.putArray("failure").add(read);
        return web.post(address, "/v3/kv/txn", transaction.toString())
                .fold(
                        failure -> failure.definitelyNotSent()
                                ? new StoreReply.Unavailable(failure.reason())
                                : new StoreReply.Unsure(failure.reason()),
                        response -> response.isSuccess() ? written(response.body()) : unavailable(response));
    }

    private static StoreReply written(JsonNode response) {
        if (response.path("succeeded").asBoolean(false)) {
            return new StoreReply.Written(response.at("/header/revision").asLong());
        }
        JsonNode range = response.at("/responses/0/response_range");
        return new StoreReply.Conflicted(
                Option.ofOptional(entries(range).stream().findFirst()));
    }

    private static StoreReply unavailable(JsonResponse response) {
        return new StoreReply.Unavailable("the store answered " + response.status() + " " + response.body());
    }

    private static StoreReply found(JsonNode response) {
        return new StoreReply.Found(
                entries(response), response.at("/header/revision").asLong());
    }

    private static List<StoreEntry> entries(JsonNode range) {
        List<StoreEntry> entries = new ArrayList<>();
        for (JsonNode kv : range.path("kvs")) {
            entries.add(new StoreEntry(
                    text(kv.path("key").asText()),
                    text(kv.path("value").asText()),
                    kv.path("mod_revision").asLong()));
        }
        return entries;
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }
}
