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
 * Calls the platform's store by etcd v3's JSON over HTTP.
 *
 * <p>Invariant: a write is called unavailable only if it was surely not made. Thread safe.
 */
final class EtcdClient implements StoreClient {
    private final String address;
    private final Web web;

    private EtcdClient(String address, Web web) {
        this.address = address;
        this.web = web;
    }

    static EtcdClient of(String address, Duration timeout) {
        return new EtcdClient(address, Web.of(timeout));
    }

    @Override
    public StoreReply call(StoreCommand command) {
        if (command instanceof StoreCommand.Get get) {
            return get(get.key());
        }
        if (command instanceof StoreCommand.Put put) {
            return put(put);
        }
        throw new IllegalArgumentException("the tool never makes this call: " + command);
    }

    private StoreReply get(String key) {
        ObjectNode range = Web.JSON.createObjectNode().put("key", base64(key));
        return web.post(address, "/v3/kv/range", range.toString())
                .fold(
                        failure -> new StoreReply.Unavailable(failure.reason()),
                        answer -> answer.isGood() ? found(answer.body()) : refused(answer));
    }

    private StoreReply put(StoreCommand.Put put) {
        String key = base64(put.key());
        ObjectNode condition = Web.JSON
                .createObjectNode()
                .put("key", key)
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(put.expectedModRevision()));
        ObjectNode write = Web.JSON.createObjectNode();
        write.putObject("request_put").put("key", key).put("value", base64(put.value()));
        ObjectNode read = Web.JSON.createObjectNode();
        read.putObject("request_range").put("key", key);
        ObjectNode transaction = Web.JSON.createObjectNode();
        transaction.putArray("compare").add(condition);
        transaction.putArray("success").add(write);
        transaction.putArray("failure").add(read);
        return web.post(address, "/v3/kv/txn", transaction.toString())
                .fold(
                        failure -> failure.surelyNotSent()
                                ? new StoreReply.Unavailable(failure.reason())
                                : new StoreReply.Unsure(failure.reason()),
                        answer -> answer.isGood() ? written(answer.body()) : refused(answer));
    }

    private static StoreReply written(JsonNode answer) {
        if (answer.path("succeeded").asBoolean(false)) {
            return new StoreReply.Written(answer.at("/header/revision").asLong());
        }
        JsonNode range = answer.at("/responses/0/response_range");
        return new StoreReply.Conflicted(
                Option.ofOptional(entries(range).stream().findFirst()));
    }

    private static StoreReply refused(WebAnswer answer) {
        return new StoreReply.Unavailable("the store answered " + answer.status() + " " + answer.body());
    }

    private static StoreReply found(JsonNode answer) {
        return new StoreReply.Found(
                entries(answer), answer.at("/header/revision").asLong());
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
