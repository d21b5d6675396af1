package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;

/**
 * What happened to one request, in order.
 *
 * <p>Invariant: lines of one host stand in the order of its clock; lines of a host that was asked by another one stand
 * behind the line that tells of the asking, as clocks of two hosts can't be compared. Immutable and thread safe.
 *
 * @param lines the log lines
 */
record RequestAccount(List<JsonNode> lines) {
    private static final Set<String> COMMON = Set.of("event", "host", "requestId", "timeMillis");

    RequestAccount {
        lines = List.copyOf(lines);
    }

    /** Picks the lines of a request out of a log; anything in front of a line's JSON is passed over. */
    static List<JsonNode> linesOf(String requestId, List<String> log) {
        List<JsonNode> lines = new ArrayList<>();
        for (String text : log) {
            int brace = text.indexOf('{');
            if (brace < 0 || !text.contains(requestId)) {
                continue;
            }
            Try.of(() -> Web.JSON.readTree(text.substring(brace)))
                    .filter(line -> line.path("requestId").asText().equals(requestId))
                    .forEach(lines::add);
        }
        return lines;
    }

    static RequestAccount of(List<JsonNode> unordered) {
        List<JsonNode> byTime = new ArrayList<>(unordered);
        byTime.sort(Comparator.comparingLong(line -> line.path("timeMillis").asLong()));
        List<JsonNode> asked =
                byTime.stream().filter(RequestAccount::isOfAskedHost).toList();
        List<JsonNode> ordered = new ArrayList<>();
        for (JsonNode line : byTime) {
            if (isOfAskedHost(line)) {
                continue;
            }
            ordered.add(line);
            if (line.path("event").asText().equals("forwarded")) {
                asked.stream()
                        .filter(each -> each.path("host")
                                .asText()
                                .equals(line.path("to").asText()))
                        .filter(each -> !ordered.contains(each))
                        .forEach(ordered::add);
            }
        }
        asked.stream().filter(line -> !ordered.contains(line)).forEach(ordered::add);
        return new RequestAccount(ordered);
    }

    List<String> text() {
        List<String> text = new ArrayList<>();
        for (JsonNode line : lines) {
            StringBuilder words = new StringBuilder(isOfAskedHost(line) ? "    " : "");
            words.append(line.path("host").asText())
                    .append(": ")
                    .append(line.path("event").asText());
            for (Map.Entry<String, JsonNode> field : line.properties()) {
                if (!COMMON.contains(field.getKey())) {
                    words.append(' ')
                            .append(field.getKey())
                            .append('=')
                            .append(field.getValue().asText());
                }
            }
            text.add(words.toString());
        }
        text.add("so: " + conclusion());
        return text;
    }

    private String conclusion() {
        String outcome = "no host tells its end";
        List<String> failures = new ArrayList<>();
        for (JsonNode line : lines) {
            String event = line.path("event").asText();
            if (event.equals("attempt_failed")) {
                failures.add(line.path("failure").asText() + ", "
                        + line.path("reason").asText());
            } else if (event.equals("ended") && !isOfAskedHost(line)) {
                outcome = line.path("outcome").asText()
                        + (line.has("reason") ? ", " + line.path("reason").asText() : "");
            }
        }
        return outcome + (failures.isEmpty() ? "" : "; attempts that failed: " + String.join("; ", failures));
    }

    private static boolean isOfAskedHost(JsonNode line) {
        return line.has("forwardedBy") || line.path("event").asText().equals("forward_taken");
    }
}
