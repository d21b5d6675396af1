package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;
import org.rattanplank.schema.intent.Intent;
import org.rattanplank.schema.intent.IntentMerge;

/**
 * Parses the store document of one generation into a configuration. Stateless and thread safe.
 *
 * <p>The document is {@code {"generation": n, "digest": "...", "changeId": "...", "files": {"name": intent}}}; files
 * are merged in the order of their names, field by field. Unknown kinds and fields are ignored, so that a newer tool
 * can write documents for older hosts.
 */
public final class ConfigurationParser {
    private ConfigurationParser() {}

    /**
     * Parses a document.
     *
     * @param document the document
     * @return the configuration, or the reason why the document cannot be parsed
     */
    public static Try<Configuration> parse(String document) {
        return Document.parse(document).flatMap(ConfigurationParser::parse);
    }

    /**
     * Merges the files of a document.
     *
     * @param document the document
     * @return the configuration, or the reason why an intent cannot be parsed
     */
    public static Try<Configuration> parse(Document document) {
        return Try.of(() -> merge(document));
    }

    private static Configuration merge(Document document) {
        Map<String, Service> services = new TreeMap<>();
        Map<String, Account> accounts = new TreeMap<>();
        Map<String, Set<String>> residencies = new TreeMap<>();
        Map<String, Double> shares = new TreeMap<>();
        Set<String> retiring = new TreeSet<>();
        Map<String, Limit> limits = new TreeMap<>();
        Map<String, List<String>> regions = new TreeMap<>();
        for (Intent intent : IntentMerge.merge(document.intentFiles())) {
            String name = intent.name();
            JsonNode content = intent.content();
            switch (intent.kind()) {
                case SERVICE -> services.put(name, service(name, content));
                case ACCOUNT -> accounts.put(name, account(name, content));
                case RESIDENCY -> residencies.put(name, Set.copyOf(new TreeSet<>(texts(content.path("regions")))));
                case SHARE -> shares.put(name, content.path("share").asDouble());
                case RETIRE -> retiring.add(name);
                case LIMIT -> limits.put(name, limit(name, content));
                case REGION -> regions.put(name, texts(content.path("dataCentres")));
                default -> throw new IllegalStateException("no reader for " + intent.kind());
            }
        }
        return new Configuration(
                document.generation(),
                document.digest(),
                services,
                accounts,
                residencies,
                shares,
                retiring,
                limits,
                regions);
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

    private static Limit limit(String name, JsonNode intent) {
        return new Limit(
                name,
                intent.path("requestsPerSecond").asDouble(),
                intent.path("concurrent").asInt());
    }

    static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(item -> texts.add(item.asText()));
        return List.copyOf(texts);
    }
}
