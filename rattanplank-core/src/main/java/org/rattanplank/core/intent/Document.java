package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.schema.intent.IntentFile;

/**
 * One generation of the operators' files, as the store holds it.
 *
 * <p>Invariant: the digest is the SHA-256 of the files' canonical JSON when this class made the document; one that was
 * read keeps the digest that it came with. Immutable and thread safe.
 *
 * @param generation the generation, which grows by one with each change
 * @param digest the digest of the files in lower-case hexadecimal
 * @param changeId the identity of the change that made this generation
 * @param earlierChangeIds the identities of the changes before it, newest first, bounded in number
 * @param files the intents by file name
 */
public record Document(
        long generation,
        String digest,
        String changeId,
        List<String> earlierChangeIds,
        SortedMap<String, JsonNode> files) {
    /** How many earlier changes a document names, so that a writer who lost an answer finds its own change again. */
    static final int EARLIER_CHANGES = 64;

    private static final ObjectMapper JSON = new ObjectMapper();

    public Document {
        Objects.requireNonNull(digest, "digest");
        Objects.requireNonNull(changeId, "changeId");
        earlierChangeIds = List.copyOf(earlierChangeIds);
        files = Collections.unmodifiableSortedMap(new TreeMap<>(files));
    }

    /**
     * Makes the document before the first change.
     *
     * @return generation zero, without files
     */
    public static Document empty() {
        return new Document(0, "", "", List.of(), new TreeMap<>());
    }

    /**
     * Reads a document.
     *
     * @param text the document as the store holds it
     * @return the document, or why it cannot be read
     */
    public static Try<Document> parse(String text) {
        return Try.of(() -> {
            JsonNode root = JSON.readTree(text);
            if (!root.path("files").isObject()) {
                throw new IllegalArgumentException("a document needs its files");
            }
            SortedMap<String, JsonNode> files = new TreeMap<>();
            root.path("files").fields().forEachRemaining(file -> files.put(file.getKey(), file.getValue()));
            List<String> earlier = new ArrayList<>();
            root.path("earlierChangeIds").forEach(id -> earlier.add(id.asText()));
            return new Document(
                    root.path("generation").asLong(),
                    root.path("digest").asText(),
                    root.path("changeId").asText(),
                    earlier,
                    files);
        });
    }

    /**
     * Computes the digest of files.
     *
     * @param files the intents by file name
     * @return the SHA-256 of their canonical JSON in lower-case hexadecimal
     */
    public static String digestOf(Map<String, JsonNode> files) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        files.forEach(node::set);
        return CanonicalJson.sha256(CanonicalJson.text(node));
    }

    /**
     * Finds the generation that a change made.
     *
     * @param id the change
     * @return its generation, or none if the change is not among the newest
     */
    public Option<Long> generationOf(String id) {
        if (changeId.equals(id)) {
            return Option.some(generation);
        }
        int index = earlierChangeIds.indexOf(id);
        return index < 0 ? Option.none() : Option.some(generation - 1 - index);
    }

    /**
     * The files, for merging and checks.
     *
     * @return the files without lines
     */
    public List<IntentFile> intentFiles() {
        return files.entrySet().stream()
                .map(file -> IntentFile.of(file.getKey(), file.getValue()))
                .toList();
    }

    /**
     * Makes the next generation.
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
        earlier.addAll(earlierChangeIds.subList(0, Math.min(EARLIER_CHANGES - 1, earlierChangeIds.size())));
        return new Document(generation + 1, digestOf(newFiles), newChangeId, earlier, newFiles);
    }

    /**
     * Writes the document for the store.
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
