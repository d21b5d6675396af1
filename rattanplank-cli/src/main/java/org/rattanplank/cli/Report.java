package org.rattanplank.cli;

import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What a command found, for people and for scripts. Thread safe as long as nobody changes the JSON.
 *
 * @param code how the command ended
 * @param lines the text for people
 * @param json the same for scripts
 */
public record Report(ExitCode code, List<String> lines, JsonNode json) {
    public Report {
        Objects.requireNonNull(code, "code");
        lines = List.copyOf(lines);
        Objects.requireNonNull(json, "json");
    }

    /**
     * Makes a report of one line.
     *
     * @param code how the command ended
     * @param line the line
     * @return the report
     */
    public static Report of(ExitCode code, String line) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("message", line);
        return new Report(code, List.of(line), json);
    }

    /**
     * Makes a report of several lines.
     *
     * @param code how the command ended
     * @param lines the lines
     * @param json the same for scripts
     * @return the report
     */
    public static Report of(ExitCode code, List<String> lines, JsonNode json) {
        return new Report(code, lines, json);
    }
}
