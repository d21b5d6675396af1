package org.rattanplank.cli;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.core.intent.ConfigurationConflict;

/** Reports files that another operator has changed since this folder was pulled. Stateless and thread safe. */
final class ConflictReport {
    private ConflictReport() {}

    static Report of(long generation, List<ConfigurationConflict> conflicts) {
        ObjectNode json = JsonHttpClient.JSON.createObjectNode().put("generation", generation);
        ArrayNode array = json.putArray("conflicts");
        conflicts.forEach(conflict -> array.addObject()
                .put("file", conflict.file())
                .put("reason", conflict.reason().name().toLowerCase(java.util.Locale.ROOT)));
        List<String> lines = io.vavr.collection.List.ofAll(conflicts)
                .map(conflict -> conflict.file() + ": " + conflict.reason().description())
                .append("generation " + generation + " clashes with this folder in " + conflicts.size()
                        + " files; nothing was applied; pull into another folder and compare")
                .asJava();
        return Report.of(ExitCode.REFUSED, lines, json);
    }
}
