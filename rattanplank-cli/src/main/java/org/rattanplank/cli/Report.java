package org.rattanplank.cli;

import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The result of a command as text and as JSON. Thread safe as long as the JSON is not modified.
 *
 * @param code the exit code of the command
 * @param lines the result as lines of text
 * @param json the result as JSON
 */
public record Report(ExitCode code, List<String> lines, JsonNode json) {
    public Report {
        Objects.requireNonNull(code, "code");
        lines = List.copyOf(lines);
        Objects.requireNonNull(json, "json");
    }

    /**
     * Creates a report of one line.
     *
     * @param code the exit code of the command
     * @param line the line
     * @return the report
     */
    public static Report of(ExitCode code, String line) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("message", line);
        return new Report(code, List.of(line), json);
    }

    /**
     * Creates a report of several lines.
     *
     * @param code the exit code of the command
     * @param lines the lines
     * @param json the result as JSON
     * @return the report
     */
    public static Report of(ExitCode code, List<String> lines, JsonNode json) {
        return new Report(code, lines, json);
    }
}
