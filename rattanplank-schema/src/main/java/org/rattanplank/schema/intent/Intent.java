package org.rattanplank.schema.intent;

import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One intent after all files about it were merged. Thread safe as long as nobody changes the content, which no code of
 * this project does.
 *
 * @param kind the intent's kind
 * @param name what it is about
 * @param content the merged fields
 * @param origins the file that gave each field its value, by field
 */
public record Intent(IntentKind kind, String name, JsonNode content, Map<String, IntentFile> origins) {
    public Intent {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(content, "content");
        origins = Map.copyOf(origins);
    }

    /**
     * Finds the file to blame for a field.
     *
     * @param field the field
     * @return the file that gave it its value, or else the one that named the intent
     */
    public IntentFile originOf(String field) {
        return origins.getOrDefault(field, origins.get("name"));
    }

    /**
     * Makes a fault of one field.
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
