package org.rattanplank.bench.fleet;

import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.core.intent.Document;

/** Creates configuration documents for measurements. Stateless and thread safe. */
public final class FleetDocuments {
    private static final int TOKEN_HASH_DIGITS = 64;

    private FleetDocuments() {}

    /**
     * Returns a configuration document.
     *
     * @param generation the generation of the document
     * @param regions the number of regions
     * @param accounts the number of client accounts
     * @param models the number of model services
     * @return the document
     */
    public static Document of(long generation, int regions, int accounts, int models) {
        SortedMap<String, JsonNode> files = new TreeMap<>();
        for (int i = 0; i < regions; i++) {
            ObjectNode region = intent("region", "region-" + i);
            region.putArray("dataCentres").add("centre-" + i);
            files.put("10-region-" + i + ".yaml", region);
        }
        for (int i = 0; i < models; i++) {
            files.put(
                    "20-model-" + i + ".yaml",
                    intent("service", "model-" + i)
                            .put("type", "model")
                            .put("repeatable", true)
                            .put("version", "model-" + i + "@" + generation));
        }
        for (int i = 0; i < accounts; i++) {
            String hash = Integer.toHexString(i);
            files.put(
                    "30-account-" + i + ".yaml",
                    intent("account", "account-" + i)
                            .put("tokenSha256", "0".repeat(TOKEN_HASH_DIGITS - hash.length()) + hash)
                            .put("homeRegion", "region-" + i % regions)
                            .put("homeDataCentre", "centre-" + i % regions));
        }
        return new Document(generation, Document.digestOf(files), "c" + generation, java.util.List.of(), files);
    }

    private static ObjectNode intent(String kind, String name) {
        return JsonNodeFactory.instance.objectNode().put("kind", kind).put("name", name);
    }
}
