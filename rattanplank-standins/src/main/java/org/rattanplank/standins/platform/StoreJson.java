package org.rattanplank.standins.platform;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;

/**
 * Converts values of the store to and from its JSON form: keys and values in Base64, 64-bit numbers as text, zeros
 * omitted.
 * Stateless and thread safe.
 */
final class StoreJson {
    private StoreJson() {}

    static String decodeText(JsonNode node, String field) {
        return new String(Base64.getDecoder().decode(node.path(field).asText()), StandardCharsets.ISO_8859_1);
    }

    static KeyRange range(JsonNode node) {
        return new KeyRange(decodeText(node, "key"), decodeText(node, "range_end"));
    }

    /** Returns a field of a request, which may be spelt in either of the two ways that the published API accepts. */
    static JsonNode eitherField(JsonNode node, String snakeCase, String camelCase) {
        return node.has(snakeCase) ? node.path(snakeCase) : node.path(camelCase);
    }

    static ObjectNode header(long revision) {
        ObjectNode header = Json.object();
        header.put("cluster_id", "1").put("member_id", "1").put("raft_term", "1");
        header.put("revision", Long.toString(revision));
        return Json.object().set("header", header);
    }

    static ObjectNode value(StoredValue value) {
        ObjectNode node = Json.object().put("key", base64(value.key()));
        putNumber(node, "create_revision", value.createRevision());
        putNumber(node, "mod_revision", value.modRevision());
        putNumber(node, "version", value.version());
        putNumber(node, "lease", value.leaseId());
        return value.value().isEmpty() ? node : node.put("value", base64(value.value()));
    }

    static ArrayNode values(List<StoredValue> values) {
        ArrayNode array = Json.array();
        values.forEach(value -> array.add(value(value)));
        return array;
    }

    static ObjectNode event(StoredValue change) {
        ObjectNode event = Json.object();
        if (change.isDeleted()) {
            event.put("type", "DELETE");
        }
        return event.set("kv", value(change));
    }

    static void putNumber(ObjectNode node, String field, long number) {
        if (number != 0) {
            node.put(field, Long.toString(number));
        }
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
