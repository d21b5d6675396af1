package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.digest.Sha256;
import org.rattanplank.schema.intent.IntentFile;

/**
 * One generation of the operators' files, as stored.
 *
 * <p>Invariant: the digest is the SHA-256 of the files' canonical JSON if this class created the document; a parsed
 * document keeps the digest it was stored with. Immutable and thread safe.
 *
 * @param generation the generation, which increases by one with each change
 * @param digest the digest of the files in lower-case hexadecimal
 * @param changeId the identity of the change that created this generation
 * @param earlierChangeIds the identities of the changes before it, newest first, bounded in number
 * @param files the intents by file name
 */
public record Document(
        long generation,
        String digest,
        String changeId,
        List<String> earlierChangeIds,
        SortedMap<String, JsonNode> files) {
    /** Maximum number of earlier changes in a document; a writer that lost a reply finds its change among them. */
    static final int MAX_EARLIER_CHANGES = 64;

    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    public Document {
        Objects.requireNonNull(digest, "digest");
        Objects.requireNonNull(changeId, "changeId");
        earlierChangeIds = List.copyOf(earlierChangeIds);
        files = Collections.unmodifiableSortedMap(new TreeMap<>(files));
    }

    /**
     * Returns the document before the first change.
     *
     * @return generation zero, without files
     */
    public static Document empty() {
        return new Document(0, "", "", List.of(), new TreeMap<>());
    }

    /**
     * Parses a document.
     *
     * @param text the stored document
     * @return the document, or the reason why it cannot be parsed
     */
    public static Try<Document> parse(String text) {
        return Try.of(() -> {
            JsonNode root = JSON.readTree(text);
            if (!root.path("files").isObject()) {
                throw new IllegalArgumentException("a document must contain the object \"files\"");
            }
            SortedMap<String, JsonNode> files = new TreeMap<>();
            root.path("files").fields().forEachRemaining(file -> files.put(file.getKey(), file.getValue()));
            List<String> earlier = new ArrayList<>();
            root.path("earlierChangeIds").forEach(id -> earlier.add(id.asText()));
            JsonNode generation = root.path("generation");
            if (generation.isNumber() && !(generation.isIntegralNumber() && generation.canConvertToLong())) {
                throw new IllegalArgumentException("the generation of a document is not an integer of 64 bits");
            }
            return new Document(
                    generation.asLong(),
                    root.path("digest").asText(),
                    root.path("changeId").asText(),
                    earlier,
                    files);
        });
    }

    /**
     * Returns the digest of files.
     *
     * @param files the intents by file name
     * @return the SHA-256 of their canonical JSON in lower-case hexadecimal
     */
    public static String digestOf(Map<String, JsonNode> files) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        files.forEach(node::set);
        return Sha256.hex(CanonicalJson.text(node));
    }

    /**
     * Returns the generation that a change created.
     *
     * @param id the change
     * @return its generation, or none if the change is not among the latest
     */
    public Option<Long> generationOf(String id) {
        if (changeId.equals(id)) {
            return Option.some(generation);
        }
        int index = earlierChangeIds.indexOf(id);
        return index < 0 ? Option.none() : Option.some(generation - 1 - index);
    }

    /**
     * Returns the files for merging and checks.
     *
     * @return the files without line numbers
     */
    public List<IntentFile> intentFiles() {
        return files.entrySet().stream()
                .map(file -> IntentFile.of(file.getKey(), file.getValue()))
                .toList();
    }

    /**
     * Creates the next generation.
     *
     * @param newFiles all files of the next generation
     * @param newChangeId the identity of the change
     * @return the next generation
     */
    public Document next(SortedMap<String, JsonNode> newFiles, String newChangeId) {
        List<String> earlier = new ArrayList<>();
        if (!changeId.isEmpty()) {
            earlier.add(changeId);
        }
        earlier.addAll(earlierChangeIds.subList(0, Math.min(MAX_EARLIER_CHANGES - 1, earlierChangeIds.size())));
        return new Document(generation + 1, digestOf(newFiles), newChangeId, earlier, newFiles);
    }

    /**
     * Serializes the document for the store.
     *
     * @return canonical JSON
     */
    public String toText() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("generation", generation);
        root.put("digest", digest);
        root.put("changeId", changeId);
        earlierChangeIds.forEach(root.putArray("earlierChangeIds")::add);
        ObjectNode intents = root.putObject("files");
        files.forEach(intents::set);
        return CanonicalJson.text(root);
    }
}
