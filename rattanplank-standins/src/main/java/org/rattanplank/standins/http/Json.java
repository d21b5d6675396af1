package org.rattanplank.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;

/** Parses and serializes JSON. Stateless and thread safe. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Returns a new empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Returns a new empty array.
     *
     * @return the array
     */
    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /**
     * Parses a text.
     *
     * @param text the text
     * @return the value, or the failure if the text isn't valid JSON
     */
    public static Try<JsonNode> read(String text) {
        return Try.of(() -> MAPPER.readTree(text));
    }

    /**
     * Parses a text that may be invalid JSON.
     *
     * @param text the text
     * @return the value, or an empty object if the text isn't valid JSON
     */
    public static JsonNode readOrEmpty(String text) {
        return read(text).filter(node -> !node.isMissingNode()).getOrElse(Json::object);
    }

    /**
     * Serializes a value on one line.
     *
     * @param value the value
     * @return the text
     */
    public static String write(JsonNode value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("serialization of a JSON tree failed", e);
        }
    }
}
