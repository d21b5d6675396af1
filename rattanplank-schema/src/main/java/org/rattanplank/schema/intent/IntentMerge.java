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
 * Merges the files of a folder in the order of their names: a later file refines an earlier one of the same kind and
 * name field by field. Stateless and thread safe.
 */
public final class IntentMerge {
    private IntentMerge() {}

    /**
     * Merges files; kinds that this version does not know are passed over.
     *
     * @param files the files in any order
     * @return one intent for each kind and name, in the order of first mention
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
     * Checks what can only be checked after merging: fields that no file gives, and files that refine nothing.
     *
     * @param files the files in any order
     * @return the faults
     */
    public static List<IntentFault> check(Collection<IntentFile> files) {
        List<IntentFault> faults = new ArrayList<>();
        for (Intent intent : merge(files)) {
            faults.addAll(IntentSchemas.checkMerged(intent));
        }
        faults.addAll(checkRefinements(files));
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

    private static List<IntentFault> checkRefinements(Collection<IntentFile> files) {
        List<IntentFault> faults = new ArrayList<>();
        Map<String, ObjectNode> merged = new TreeMap<>();
        Map<String, String> first = new TreeMap<>();
        for (IntentFile file :
                files.stream().sorted(Comparator.comparing(IntentFile::name)).toList()) {
            String key = file.kind() + "/" + file.subject();
            ObjectNode before = merged.computeIfAbsent(key, unused -> JsonNodeFactory.instance.objectNode());
            ObjectNode after = before.deepCopy();
            file.content().fields().forEachRemaining(field -> after.set(field.getKey(), field.getValue()));
            JsonNode unchanged = before;
            if (first.containsKey(key) && after.equals(unchanged)) {
                faults.add(file.fault(
                        "name", "a field that differs from " + first.get(key), "the same " + file.kind() + " again"));
            }
            first.putIfAbsent(key, file.name());
            merged.put(key, after);
        }
        return faults;
    }
}
