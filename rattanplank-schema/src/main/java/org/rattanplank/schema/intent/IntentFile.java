package org.rattanplank.schema.intent;

import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One file with one intent. Thread safe as long as nobody changes the content, which no code of this project does.
 *
 * @param name the file's name, which gives its place in the order of merging
 * @param content the intent as it stands in the file
 * @param lines the line of each field by JSON Pointer, empty if the intent did not come from a file
 */
public record IntentFile(String name, JsonNode content, Map<String, Integer> lines) {
    public IntentFile {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(content, "content");
        lines = Map.copyOf(lines);
    }

    /**
     * Makes a file whose lines are not known.
     *
     * @param name the file's name
     * @param content the intent
     * @return the file
     */
    public static IntentFile of(String name, JsonNode content) {
        return new IntentFile(name, content, Map.of());
    }

    /**
     * The word for the intent's kind.
     *
     * @return the word, empty if there is none
     */
    public String kind() {
        return content.path("kind").asText();
    }

    /**
     * The name of what the intent is about.
     *
     * @return the name, empty if there is none
     */
    public String subject() {
        return content.path("name").asText();
    }

    /**
     * Finds the line of a field.
     *
     * @param pointer the field's JSON Pointer
     * @return its line, or that of the nearest field around it, or zero if no line is known
     */
    public int lineOf(String pointer) {
        String nearest = pointer;
        while (!lines.containsKey(nearest) && !nearest.isEmpty()) {
            nearest = nearest.substring(0, nearest.lastIndexOf('/'));
        }
        return lines.getOrDefault(nearest, 0);
    }

    /**
     * Makes a fault of one field of this file.
     *
     * @param field the field's name, empty for the whole file
     * @param expected what was expected
     * @param found what was found
     * @return the fault
     */
    public IntentFault fault(String field, String expected, String found) {
        return new IntentFault(name, lineOf(field.isEmpty() ? "" : "/" + field), field, expected, found);
    }
}
