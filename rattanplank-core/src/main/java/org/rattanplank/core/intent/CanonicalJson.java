package org.rattanplank.core.intent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Serializes JSON so that equal values give equal text: fields are sorted, without whitespace.
 *
 * <p>Invariant: the text depends only on the value. Stateless and thread safe.
 */
final class CanonicalJson {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .build();

    private CanonicalJson() {}

    static String text(JsonNode node) {
        try {
            return JSON.writeValueAsString(JSON.treeToValue(node, Object.class));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the node is not a JSON value", e);
        }
    }
}
