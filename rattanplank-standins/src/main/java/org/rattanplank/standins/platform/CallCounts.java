package org.rattanplank.standins.platform;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;

/** Counts calls by kind; a watch counts as one call. Not thread safe: confined to the platform's event loop. */
final class CallCounts {
    private final Map<String, Long> calls = new TreeMap<>();

    void increment(String kind) {
        calls.merge(kind, 1L, Long::sum);
    }

    ObjectNode toJson() {
        ObjectNode node = Json.object();
        calls.forEach(node::put);
        return node;
    }
}
