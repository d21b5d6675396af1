package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;

/**
 * The log lines of one request in order.
 *
 * <p>Invariant: the lines of one host are ordered by its clock; the lines of a host that received the forwarded request
 * follow the line that reports the forwarding, because clocks of two hosts are not comparable. Immutable and thread safe.
 *
 * @param lines the log lines
 */
record RequestTimeline(List<JsonNode> lines) {
    private static final Set<String> COMMON_FIELDS = Set.of("event", "host", "requestId", "timeMillis");

    RequestTimeline {
        lines = List.copyOf(lines);
    }

    /** Selects the lines of a request from a log; text before the JSON of a line is ignored. */
    static List<JsonNode> linesOf(String requestId, List<String> log) {
        List<JsonNode> lines = new ArrayList<>();
        for (String text : log) {
            int brace = text.indexOf('{');
            if (brace < 0 || !text.contains(requestId)) {
                continue;
            }
            Try.of(() -> JsonHttpClient.JSON.readTree(text.substring(brace)))
                    .filter(line -> line.path("requestId").asText().equals(requestId))
                    .forEach(lines::add);
        }
        return lines;
    }

    static RequestTimeline of(List<JsonNode> unordered) {
        List<JsonNode> byTime = new ArrayList<>(unordered);
        byTime.sort(Comparator.comparingLong(line -> line.path("timeMillis").asLong()));
        List<JsonNode> fromForwardedHost =
                byTime.stream().filter(RequestTimeline::isFromForwardedHost).toList();
        List<JsonNode> ordered = new ArrayList<>();
        for (JsonNode line : byTime) {
            if (isFromForwardedHost(line)) {
                continue;
            }
            ordered.add(line);
            if (line.path("event").asText().equals("forwarded")) {
                fromForwardedHost.stream()
                        .filter(candidate -> candidate
                                .path("host")
                                .asText()
                                .equals(line.path("to").asText()))
                        .filter(candidate -> !ordered.contains(candidate))
                        .forEach(ordered::add);
            }
        }
        fromForwardedHost.stream().filter(line -> !ordered.contains(line)).forEach(ordered::add);
        return new RequestTimeline(ordered);
    }

    List<String> text() {
        List<String> text = new ArrayList<>();
        for (JsonNode line : lines) {
            StringBuilder description = new StringBuilder(isFromForwardedHost(line) ? "    " : "");
            description
                    .append(line.path("host").asText())
                    .append(": ")
                    .append(line.path("event").asText());
            for (Map.Entry<String, JsonNode> field : line.properties()) {
                if (!COMMON_FIELDS.contains(field.getKey())) {
                    description
                            .append(' ')
                            .append(field.getKey())
                            .append('=')
                            .append(field.getValue().asText());
                }
            }
            text.add(description.toString());
        }
        text.add("so: " + conclusion());
        return text;
    }

    private String conclusion() {
        String outcome = "no host logged its end";
        List<String> failures = new ArrayList<>();
        for (JsonNode line : lines) {
            String event = line.path("event").asText();
            if (event.equals("attempt_failed")) {
                failures.add(line.path("failure").asText() + ", "
                        + line.path("reason").asText());
            } else if (event.equals("ended") && !isFromForwardedHost(line)) {
                outcome = line.path("outcome").asText()
                        + (line.has("reason") ? ", " + line.path("reason").asText() : "");
            }
        }
        return outcome + (failures.isEmpty() ? "" : "; attempts that failed: " + String.join("; ", failures));
    }

    private static boolean isFromForwardedHost(JsonNode line) {
        return line.has("forwardedBy") || line.path("event").asText().equals("forward_taken");
    }
}
