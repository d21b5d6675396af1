package org.rattanplank.core.intent;

import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** Creates small sets of intent files. */
final class TestIntentFiles {
    private TestIntentFiles() {}

    static SortedMap<String, JsonNode> retiring(String... names) {
        SortedMap<String, JsonNode> files = new TreeMap<>();
        for (String name : names) {
            files.put(name, retire(name));
        }
        return files;
    }

    static JsonNode retire(String name) {
        return JsonNodeFactory.instance.objectNode().put("kind", "retire").put("name", name);
    }

    static JsonNode retire(String name, String reason) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("kind", "retire")
                .put("name", name)
                .put("reason", reason);
    }

    static Document document(long generation, String... names) {
        SortedMap<String, JsonNode> files = retiring(names);
        return new Document(generation, Document.digestOf(files), "c" + generation, java.util.List.of(), files);
    }
}
