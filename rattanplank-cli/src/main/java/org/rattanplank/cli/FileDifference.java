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
 * One file that differs. Immutable and thread safe.
 *
 * @param file the file's name
 * @param verb what happens to it: add, change or remove
 */
record FileDifference(String file, String verb) {
    FileDifference {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(verb, "verb");
    }

    static List<FileDifference> between(SortedMap<String, JsonNode> before, SortedMap<String, JsonNode> after) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        List<FileDifference> differences = new ArrayList<>();
        for (String name : names) {
            if (!before.containsKey(name)) {
                differences.add(new FileDifference(name, "add"));
            } else if (!after.containsKey(name)) {
                differences.add(new FileDifference(name, "remove"));
            } else if (!before.get(name).equals(after.get(name))) {
                differences.add(new FileDifference(name, "change"));
            }
        }
        return differences;
    }

    static ObjectNode toJson(List<FileDifference> differences) {
        ObjectNode json = Web.JSON.createObjectNode();
        ArrayNode array = json.putArray("differences");
        differences.forEach(each -> array.addObject().put("file", each.file()).put("verb", each.verb()));
        return json;
    }
}
