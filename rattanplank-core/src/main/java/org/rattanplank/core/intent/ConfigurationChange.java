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
 * A configuration change: the document that an operator last saw, and the desired content of the operator's folder.
 *
 * <p>Invariant: applied to a newer document, the change modifies no file that the operator did not change. Immutable
 * and thread safe.
 *
 * @param base the document that the operator last saw
 * @param desired the operator's files by name
 * @param changeId the identity of the change
 */
public record ConfigurationChange(Document base, SortedMap<String, JsonNode> desired, String changeId) {
    public ConfigurationChange {
        desired = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(desired));
    }

    /**
     * Applies the change to the newest document, file by file.
     *
     * @param newest the newest document
     * @return the next generation, the newest document itself if nothing changes, or all conflicts
     */
    public Either<List<ConfigurationConflict>, Document> applyTo(Document newest) {
        List<ConfigurationConflict> conflicts = new ArrayList<>();
        SortedMap<String, JsonNode> merged = new TreeMap<>();
        for (String name : names(newest)) {
            Option<JsonNode> previous = Option.of(base.files().get(name));
            Option<JsonNode> ours = Option.of(desired.get(name));
            Option<JsonNode> theirs = Option.of(newest.files().get(name));
            if (!ours.equals(previous) && !theirs.equals(previous) && !ours.equals(theirs)) {
                conflicts.add(new ConfigurationConflict(name, reason(previous, ours, theirs)));
                continue;
            }
            Option<JsonNode> result = ours.equals(previous) ? theirs : ours;
            result.forEach(content -> merged.put(name, content));
        }
        if (!conflicts.isEmpty()) {
            return Either.left(List.copyOf(conflicts));
        }
        return Either.right(merged.equals(newest.files()) ? newest : newest.next(merged, changeId));
    }

    private SortedSet<String> names(Document newest) {
        SortedSet<String> names = new TreeSet<>(base.files().keySet());
        names.addAll(desired.keySet());
        names.addAll(newest.files().keySet());
        return names;
    }

    private static ConfigurationConflict.Reason reason(
            Option<JsonNode> previous, Option<JsonNode> ours, Option<JsonNode> theirs) {
        if (previous.isEmpty()) {
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
