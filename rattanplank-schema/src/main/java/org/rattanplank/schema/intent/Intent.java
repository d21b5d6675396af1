package org.rattanplank.schema.intent;

import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An intent merged from all files with its kind and name. Thread safe, because the content is never modified.
 *
 * @param kind the kind of the intent
 * @param name the name of the configured object
 * @param content the merged fields
 * @param origins the file that set the value of each field, by field name
 */
public record Intent(IntentKind kind, String name, JsonNode content, Map<String, IntentFile> origins) {
    public Intent {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(content, "content");
        origins = Map.copyOf(origins);
    }

    /**
     * Finds the file that set a field.
     *
     * @param field the field
     * @return the file that set its value, or the file that set the name if no file set the field
     */
    public IntentFile originOf(String field) {
        return origins.getOrDefault(field, origins.get("name"));
    }

    /**
     * Creates a fault in one field.
     *
     * @param field the field
     * @param expected what was expected
     * @param found what was found
     * @return the fault
     */
    public IntentFault fault(String field, String expected, String found) {
        return originOf(field).fault(field, expected, found);
    }
}
