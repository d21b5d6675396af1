package org.rattanplank.schema.intent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;

/**
 * Merges the files of a folder in the order of their names: the fields of a later file override those of earlier
 * files with the same kind and name. Stateless and thread safe.
 */
public final class IntentMerge {
    private IntentMerge() {}

    /**
     * Merges files; kinds unknown to this version are ignored.
     *
     * @param files the files in any order
     * @return one intent for each kind and name, in the order of their first files
     */
    public static List<Intent> merge(Collection<IntentFile> files) {
        Map<String, List<IntentFile>> groups = new LinkedHashMap<>();
        files.stream().sorted(Comparator.comparing(IntentFile::name)).forEach(file -> groups.computeIfAbsent(
                        file.kind() + "/" + file.subject(), key -> new ArrayList<>())
                .add(file));
        List<Intent> merged = new ArrayList<>();
        for (List<IntentFile> group : groups.values()) {
            Option<IntentKind> kind = IntentKind.of(group.get(0).kind());
            kind.forEach(known -> merged.add(mergeGroup(known, group)));
        }
        return merged;
    }

    /**
     * Checks the conditions that need all files: no required field is missing, and no later file repeats an intent
     * without a change.
     *
     * @param files the files in any order
     * @return the faults
     */
    public static List<IntentFault> check(Collection<IntentFile> files) {
        List<IntentFault> faults = new ArrayList<>();
        for (Intent intent : merge(files)) {
            faults.addAll(IntentSchemas.checkMerged(intent));
        }
        faults.addAll(checkRepetitions(files));
        return faults;
    }

    private static Intent mergeGroup(IntentKind kind, List<IntentFile> group) {
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        Map<String, IntentFile> origins = new TreeMap<>();
        for (IntentFile file : group) {
            file.content().fields().forEachRemaining(field -> {
                boolean first = !content.has(field.getKey());
                boolean changed = !field.getValue().equals(content.get(field.getKey()));
                content.set(field.getKey(), field.getValue());
                if (first || changed) {
                    origins.put(field.getKey(), file);
                }
            });
        }
        return new Intent(kind, group.get(0).subject(), content, origins);
    }

    private static List<IntentFault> checkRepetitions(Collection<IntentFile> files) {
        List<IntentFault> faults = new ArrayList<>();
        Map<String, ObjectNode> merged = new TreeMap<>();
        Map<String, String> firstFiles = new TreeMap<>();
        for (IntentFile file :
                files.stream().sorted(Comparator.comparing(IntentFile::name)).toList()) {
            String key = file.kind() + "/" + file.subject();
            ObjectNode previous = merged.computeIfAbsent(key, unused -> JsonNodeFactory.instance.objectNode());
            ObjectNode next = previous.deepCopy();
            file.content().fields().forEachRemaining(field -> next.set(field.getKey(), field.getValue()));
            JsonNode unchanged = previous;
            if (firstFiles.containsKey(key) && next.equals(unchanged)) {
                faults.add(file.fault(
                        "name",
                        "a field that differs from " + firstFiles.get(key),
                        "the same " + file.kind() + " again"));
            }
            firstFiles.putIfAbsent(key, file.name());
            merged.put(key, next);
        }
        return faults;
    }
}
