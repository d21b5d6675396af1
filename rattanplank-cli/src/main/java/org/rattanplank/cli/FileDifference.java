package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A difference in one file between two versions of a folder. Immutable and thread safe.
 *
 * @param file the name of the file
 * @param verb the operation on the file: add, change or remove
 */
record FileDifference(String file, String verb) {
    FileDifference {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(verb, "verb");
    }

    static List<FileDifference> between(SortedMap<String, JsonNode> previous, SortedMap<String, JsonNode> next) {
        TreeSet<String> names = new TreeSet<>(previous.keySet());
        names.addAll(next.keySet());
        List<FileDifference> differences = new ArrayList<>();
        for (String name : names) {
            if (!previous.containsKey(name)) {
                differences.add(new FileDifference(name, "add"));
            } else if (!next.containsKey(name)) {
                differences.add(new FileDifference(name, "remove"));
            } else if (!previous.get(name).equals(next.get(name))) {
                differences.add(new FileDifference(name, "change"));
            }
        }
        return differences;
    }

    static ObjectNode toJson(List<FileDifference> differences) {
        ObjectNode json = JsonHttpClient.JSON.createObjectNode();
        ArrayNode array = json.putArray("differences");
        differences.forEach(
                difference -> array.addObject().put("file", difference.file()).put("verb", difference.verb()));
        return json;
    }
}
