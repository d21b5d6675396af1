package org.rattanplank.core.intent;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;

/**
 * Reads the document that the store holds for one generation. Stateless and thread safe.
 *
 * <p>The document is {@code {"generation": n, "digest": "...", "changeId": "...", "files": {"name": intent}}}; files
 * apply in the order of their names.
 */
public final class Documents {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Documents() {}

    /**
     * Reads a document.
     *
     * @param document the document
     * @return the configuration, or why the document cannot be read
     */
    public static Try<Configuration> read(String document) {
        return Try.of(() -> read(JSON.readTree(document)));
    }

    private static Configuration read(JsonNode root) {
        Map<String, Service> services = new HashMap<>();
        Map<String, Account> accounts = new HashMap<>();
        Map<String, Set<String>> residencies = new HashMap<>();
        Map<String, Double> shares = new HashMap<>();
        Set<String> retiring = new HashSet<>();
        Map<String, JsonNode> files = new java.util.TreeMap<>();
        root.path("files").fields().forEachRemaining(file -> files.put(file.getKey(), file.getValue()));
        for (JsonNode intent : files.values()) {
            String name = intent.path("name").asText();
            switch (intent.path("kind").asText()) {
                case "service" -> services.put(name, service(name, intent));
                case "account" -> accounts.put(name, account(name, intent));
                case "residency" -> residencies.put(name, regions(intent));
                case "share" -> shares.put(name, intent.path("share").asDouble());
                case "retire" -> retiring.add(name);
                default -> {}
            }
        }
        return new Configuration(
                root.path("generation").asLong(),
                root.path("digest").asText(),
                services,
                accounts,
                residencies,
                shares,
                retiring);
    }

    private static Service service(String name, JsonNode intent) {
        return new Service(
                name,
                "model".equals(intent.path("type").asText()),
                intent.path("version").asText(),
                intent.path("repeatable").asBoolean(false),
                intent.path("checksFencing").asBoolean(false));
    }

    private static Account account(String name, JsonNode intent) {
        return new Account(
                name,
                intent.path("tokenSha256").asText(),
                intent.path("homeRegion").asText(),
                intent.path("homeDataCentre").asText(),
                intent.path("residency").asText(),
                intent.path("weight").asDouble(1));
    }

    private static Set<String> regions(JsonNode intent) {
        Set<String> regions = new HashSet<>();
        intent.path("regions").forEach(region -> regions.add(region.asText()));
        return regions;
    }
}
