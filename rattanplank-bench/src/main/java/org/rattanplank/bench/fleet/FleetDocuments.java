package org.rattanplank.bench.fleet;

import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.core.intent.Document;

/** Makes configuration documents for measurements. Stateless and thread safe. */
public final class FleetDocuments {
    private static final int HASH_LENGTH = 64;

    private FleetDocuments() {}

    /**
     * Makes a document.
     *
     * @param generation its generation
     * @param regions how many regions it names
     * @param accounts how many accounts it names
     * @param models how many models it names
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
                            .put("tokenSha256", "0".repeat(HASH_LENGTH - hash.length()) + hash)
                            .put("homeRegion", "region-" + i % regions)
                            .put("homeDataCentre", "centre-" + i % regions));
        }
        return new Document(generation, Document.digestOf(files), "c" + generation, java.util.List.of(), files);
    }

    private static ObjectNode intent(String kind, String name) {
        return JsonNodeFactory.instance.objectNode().put("kind", kind).put("name", name);
    }
}
