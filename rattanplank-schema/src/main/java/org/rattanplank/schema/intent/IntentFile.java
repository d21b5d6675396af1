package org.rattanplank.schema.intent;

import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A file with one intent. Thread safe, because the content is never modified.
 *
 * @param name the name of the file, which determines its position in the merge order
 * @param content the intent as written in the file
 * @param lines the line number of each field by JSON Pointer, empty if the intent was not read from a file
 */
public record IntentFile(String name, JsonNode content, Map<String, Integer> lines) {
    public IntentFile {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(content, "content");
        lines = Map.copyOf(lines);
    }

    /**
     * Creates a file without line numbers.
     *
     * @param name the file's name
     * @param content the intent
     * @return the file
     */
    public static IntentFile of(String name, JsonNode content) {
        return new IntentFile(name, content, Map.of());
    }

    /**
     * Returns the label of the intent's kind.
     *
     * @return the label, empty if it is missing
     */
    public String kind() {
        return content.path("kind").asText();
    }

    /**
     * Returns the name of the configured object.
     *
     * @return the name, empty if it is missing
     */
    public String subject() {
        return content.path("name").asText();
    }

    /**
     * Finds the line number of a field.
     *
     * @param pointer the field's JSON Pointer
     * @return its line number, or that of the nearest enclosing field, or zero if it is unknown
     */
    public int lineOf(String pointer) {
        String enclosing = pointer;
        while (!lines.containsKey(enclosing) && !enclosing.isEmpty()) {
            enclosing = enclosing.substring(0, enclosing.lastIndexOf('/'));
        }
        return lines.getOrDefault(enclosing, 0);
    }

    /**
     * Creates a fault in one field of this file.
     *
     * @param field the name of the field, empty for the whole file
     * @param expected what was expected
     * @param found what was found
     * @return the fault
     */
    public IntentFault fault(String field, String expected, String found) {
        return new IntentFault(name, lineOf(field.isEmpty() ? "" : "/" + field), field, expected, found);
    }
}
