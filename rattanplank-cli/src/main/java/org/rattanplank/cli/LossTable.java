package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Try;

/**
 * Counts the outcomes of the requests of each route, and the fractions of served requests among its largest generations and
 * of the client accounts served least, from the {@code ended} log lines.
 *
 * <p>Invariant: a request counts once, at the entry host that received it from its caller. Requests that match no route,
 * such as probes, are not counted. Confined to one thread.
 */
final class LossTable {
    private final Map<String, Map<String, Integer>> countsByRoute = new TreeMap<>();
    private final SizeTable sizes = new SizeTable();
    private final AccountTable accounts = new AccountTable();
    private int linesDropped;

    /** Adds the lines of one host's log; text before the JSON of a line is ignored. */
    void add(List<String> log) {
        for (String text : log) {
            int brace = text.indexOf("{\"event\"");
            if (brace >= 0) {
                Try.of(() -> JsonHttpClient.JSON.readTree(text.substring(brace)))
                        .forEach(this::add);
            }
        }
    }

    private void add(JsonNode line) {
        String event = line.path("event").asText();
        if (event.equals("lines_dropped")) {
            linesDropped += line.path("lines").asInt();
        }
        String route = line.path("route").asText();
        if (!event.equals("ended") || line.has("forwardedBy") || route.isEmpty()) {
            return;
        }
        Loss loss = Loss.of(line);
        String reason = line.path("reason").asText();
        String causeLabel = reason.isEmpty() ? loss.label() : loss.label() + ": " + reason;
        countsByRoute.computeIfAbsent(route, key -> new TreeMap<>()).merge(causeLabel, 1, Integer::sum);
        sizes.add(route, line);
        accounts.add(line);
    }

    boolean isEmpty() {
        return countsByRoute.isEmpty();
    }

    List<String> text() {
        List<String> text = new ArrayList<>();
        countsByRoute.forEach((route, counts) -> {
            int total = sum(counts);
            text.add(route + ": " + total + " requests");
            largestFirst(counts)
                    .forEach(cause -> text.add(String.format(
                            Locale.ROOT,
                            "  %7d  %5.1f %%  %s",
                            cause.getValue(),
                            percent(cause, total),
                            cause.getKey())));
        });
        text.addAll(sizes.text());
        text.addAll(accounts.text());
        if (linesDropped > 0) {
            text.add(linesDropped + " lines were left out of these logs; the counts are too low by at most so many");
        }
        return text;
    }

    /** Returns the outcome counts as JSON. */
    ArrayNode json() {
        ArrayNode rows = JsonHttpClient.JSON.createArrayNode();
        countsByRoute.forEach((route, counts) -> largestFirst(counts).forEach(cause -> rows.addObject()
                .put("route", route)
                .put("cause", cause.getKey())
                .put("requests", cause.getValue())));
        return rows;
    }

    /** Returns the served fractions by size as JSON. */
    ArrayNode sizesJson() {
        return sizes.json();
    }

    /** Returns the served fractions of the accounts served least as JSON. */
    ArrayNode accountsJson() {
        return accounts.json();
    }

    private static double percent(Map.Entry<String, Integer> count, int total) {
        return 100.0 * count.getValue() / total;
    }

    private static int sum(Map<String, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static List<Map.Entry<String, Integer>> largestFirst(Map<String, Integer> counts) {
        return counts.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .toList();
    }
}
