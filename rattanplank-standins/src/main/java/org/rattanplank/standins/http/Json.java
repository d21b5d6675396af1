package org.rattanplank.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;

/** Reads and writes JSON. Stateless and thread safe. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Makes an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Makes an empty array.
     *
     * @return the array
     */
    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /**
     * Reads a text.
     *
     * @param text the text
     * @return the value, or why the text is no JSON
     */
    public static Try<JsonNode> read(String text) {
        return Try.of(() -> MAPPER.readTree(text));
    }

    /**
     * Reads a text that may be no JSON.
     *
     * @param text the text
     * @return the value, or an empty object if the text is no JSON
     */
    public static JsonNode readOrEmpty(String text) {
        return read(text).filter(node -> !node.isMissingNode()).getOrElse(Json::object);
    }

    /**
     * Writes a value on one line.
     *
     * @param value the value
     * @return the text
     */
    public static String write(JsonNode value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("a tree of JSON nodes can always be written", e);
        }
    }
}
