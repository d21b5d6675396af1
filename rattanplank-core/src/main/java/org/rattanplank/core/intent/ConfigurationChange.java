package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;

/**
 * A change of configuration: what an operator last saw, and what the operator's folder holds now.
 *
 * <p>Invariant: applied to a newer document, it changes no file that the operator did not change. Immutable and thread
 * safe.
 *
 * @param base the document that the operator last saw
 * @param wanted the operator's files by name
 * @param changeId the identity of the change
 */
public record ConfigurationChange(Document base, SortedMap<String, JsonNode> wanted, String changeId) {
    public ConfigurationChange {
        wanted = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(wanted));
    }

    /**
     * Applies the change to the newest document, file by file.
     *
     * @param newest the newest document
     * @return the next generation, the newest document itself if there is nothing to change, or all conflicts
     */
    public Either<List<ConfigurationConflict>, Document> applyTo(Document newest) {
        List<ConfigurationConflict> conflicts = new ArrayList<>();
        SortedMap<String, JsonNode> merged = new TreeMap<>();
        for (String name : names(newest)) {
            Option<JsonNode> before = Option.of(base.files().get(name));
            Option<JsonNode> ours = Option.of(wanted.get(name));
            Option<JsonNode> theirs = Option.of(newest.files().get(name));
            if (!ours.equals(before) && !theirs.equals(before) && !ours.equals(theirs)) {
                conflicts.add(new ConfigurationConflict(name, reason(before, ours, theirs)));
                continue;
            }
            Option<JsonNode> result = ours.equals(before) ? theirs : ours;
            result.forEach(content -> merged.put(name, content));
        }
        if (!conflicts.isEmpty()) {
            return Either.left(List.copyOf(conflicts));
        }
        return Either.right(merged.equals(newest.files()) ? newest : newest.next(merged, changeId));
    }

    private SortedSet<String> names(Document newest) {
        SortedSet<String> names = new TreeSet<>(base.files().keySet());
        names.addAll(wanted.keySet());
        names.addAll(newest.files().keySet());
        return names;
    }

    private static ConfigurationConflict.Reason reason(
            Option<JsonNode> before, Option<JsonNode> ours, Option<JsonNode> theirs) {
        if (before.isEmpty()) {
            return ConfigurationConflict.Reason.BOTH_ADDED;
        }
        if (ours.isEmpty()) {
            return ConfigurationConflict.Reason.REMOVED_HERE;
        }
        return theirs.isEmpty()
                ? ConfigurationConflict.Reason.REMOVED_THERE
                : ConfigurationConflict.Reason.BOTH_CHANGED;
    }
}
