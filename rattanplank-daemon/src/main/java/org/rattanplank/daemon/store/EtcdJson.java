package org.rattanplank.daemon.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.daemon.http.JsonBody;

/** Encodes and decodes the JSON of etcd's version 3 API. Stateless and thread safe. */
final class EtcdJson {
    static final String WATCH_PATH = "/v3/watch";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String KEY = "key";
    private static final String RANGE_END = "range_end";
    private static final String MOD_REVISION = "mod_revision";

    private EtcdJson() {}

    static String pathOf(StoreCommand command) {
        if (command instanceof StoreCommand.Get || command instanceof StoreCommand.List) {
            return "/v3/kv/range";
        } else if (command instanceof StoreCommand.GrantLease) {
            return "/v3/lease/grant";
        } else if (command instanceof StoreCommand.KeepLease) {
            return "/v3/lease/keepalive";
        } else if (command instanceof StoreCommand.Watch) {
            return WATCH_PATH;
        }
        return "/v3/kv/txn";
    }

    static byte[] bodyOf(StoreCommand command) {
        return nodeOf(command).toString().getBytes(StandardCharsets.UTF_8);
    }

    static boolean isWrite(StoreCommand command) {
        return !(command instanceof StoreCommand.Get || command instanceof StoreCommand.List);
    }

    static Try<StoreReply> replyOf(StoreCommand command, byte[] body) {
        return JsonBody.readObject(body).mapTry(json -> replyOf(command, json));
    }

    static Try<JsonNode> line(String text) {
        return Try.of(() -> JSON.readTree(text));
    }

    static List<StoreEntry> changesOf(JsonNode result) {
        List<StoreEntry> entries = new ArrayList<>();
        for (JsonNode event : result.path("events")) {
            StoreEntry entry = entryOf(event.path("kv"));
            boolean deleted = "DELETE".equals(event.path("type").asText());
            entries.add(deleted ? new StoreEntry(entry.key(), "", 0) : entry);
        }
        return entries;
    }

    static long revisionOf(JsonNode response) {
        return response.path("header").path("revision").asLong();
    }

    private static ObjectNode nodeOf(StoreCommand command) {
        ObjectNode node = JSON.createObjectNode();
        if (command instanceof StoreCommand.Get get) {
            return node.put(KEY, encode(get.key()));
        } else if (command instanceof StoreCommand.List list) {
            return node.put(KEY, encode(list.prefix())).put(RANGE_END, endOf(list.prefix()));
        } else if (command instanceof StoreCommand.Put put) {
            return txn(put.key(), put.expectedModRevision(), putRequest(put));
        } else if (command instanceof StoreCommand.Delete delete) {
            ObjectNode request = JSON.createObjectNode();
            request.putObject("request_delete_range").put(KEY, encode(delete.key()));
            return txn(delete.key(), delete.expectedModRevision(), request);
        } else if (command instanceof StoreCommand.GrantLease grant) {
            return node.put("TTL", Math.max(1, TimeUnit.MILLISECONDS.toSeconds(grant.ttlMillis())));
        } else if (command instanceof StoreCommand.KeepLease keep) {
            return node.put("ID", keep.leaseId());
        } else if (command instanceof StoreCommand.Watch watch) {
            node.putObject("create_request")
                    .put(KEY, encode(watch.prefix()))
                    .put(RANGE_END, endOf(watch.prefix()))
                    .put("start_revision", watch.fromRevision());
        }
        return node;
    }

    private static ObjectNode putRequest(StoreCommand.Put put) {
        ObjectNode request = JSON.createObjectNode();
        ObjectNode body =
                request.putObject("request_put").put(KEY, encode(put.key())).put("value", encode(put.value()));
        if (put.leaseId() != 0) {
            body.put("lease", put.leaseId());
        }
        return request;
    }

    private static ObjectNode txn(String key, long expectedModRevision, ObjectNode success) {
        ObjectNode node = JSON.createObjectNode();
        node.putArray("compare")
                .addObject()
                .put(KEY, encode(key))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put(MOD_REVISION, expectedModRevision);
        node.putArray("success").add(success);
        ArrayNode failure = node.putArray("failure");
        failure.addObject().putObject("request_range").put(KEY, encode(key));
        return node;
    }

    private static StoreReply replyOf(StoreCommand command, JsonNode response) {
        long revision = revisionOf(response);
        if (command instanceof StoreCommand.GrantLease) {
            return leased(response);
        } else if (command instanceof StoreCommand.KeepLease) {
            return leased(response.path("result"));
        } else if (!isWrite(command)) {
            return new StoreReply.Found(entriesOf(response.path("kvs")), revision);
        }
        if (response.path("succeeded").asBoolean(false)) {
            return new StoreReply.Written(revision);
        }
        JsonNode current = response.path("responses")
                .path(0)
                .path("response_range")
                .path("kvs")
                .path(0);
        return new StoreReply.Conflicted(current.isMissingNode() ? Option.none() : Option.some(entryOf(current)));
    }

    private static StoreReply leased(JsonNode lease) {
        return new StoreReply.Leased(
                lease.path("ID").asLong(),
                TimeUnit.SECONDS.toMillis(lease.path("TTL").asLong()));
    }

    private static List<StoreEntry> entriesOf(JsonNode kvs) {
        List<StoreEntry> entries = new ArrayList<>();
        kvs.forEach(kv -> entries.add(entryOf(kv)));
        return entries;
    }

    private static StoreEntry entryOf(JsonNode kv) {
        return new StoreEntry(
                decode(kv.path(KEY).asText()),
                decode(kv.path("value").asText()),
                kv.path(MOD_REVISION).asLong());
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String text) {
        return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
    }

    /** Returns the first key after all keys with a prefix: the prefix with its last byte incremented. */
    private static String endOf(String prefix) {
        byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
        end[end.length - 1]++;
        return Base64.getEncoder().encodeToString(end);
    }
}
