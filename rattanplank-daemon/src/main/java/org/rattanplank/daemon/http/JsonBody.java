package org.rattanplank.daemon.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;

/** Reads bodies that have to be JSON objects. Stateless and thread safe. */
public final class JsonBody {
    private static final ObjectMapper JSON = new ObjectMapper();

    private JsonBody() {}

    /**
     * Reads a body.
     *
     * @param body the body
     * @return the object, or a failure if the body is empty or anything else
     */
    public static Try<JsonNode> readObject(byte[] body) {
        // An absent value has no fields: it would be read as an object in which nothing is set.
        return Try.of(() -> JSON.readTree(body)).filter(JsonNode::isObject);
    }
}
