package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;

/**
 * Fractions of served requests among the largest generations of each route, compared with all generations of the route.
 *
 * <p>Invariant: only requests whose {@code ended} log line has token counts are included. Confined to one thread.
 */
final class SizeTable {
    private final Map<String, ServedBySize> byRoute = new TreeMap<>();

    /** Adds the {@code ended} log line of a request at the entry host that received it from its caller. */
    void add(String route, JsonNode endedLine) {
        if (!endedLine.has("promptTokens")) {
            return;
        }
        byRoute.computeIfAbsent(route, key -> new ServedBySize())
                .add(
                        endedLine.path("promptTokens").asLong(),
                        endedLine.path("outputTokens").asLong(),
                        Loss.isServed(endedLine));
    }

    List<String> text() {
        List<String> text = new ArrayList<>();
        byRoute.forEach((route, generations) -> {
            text.add(String.format(
                    Locale.ROOT,
                    "%s by size: %d generations, %.2f of them served",
                    route,
                    generations.requests(),
                    generations.servedShare()));
            generations.shares().forEach(share -> text.add(text(share)));
        });
        return text;
    }

    ArrayNode json() {
        ArrayNode rows = JsonHttpClient.JSON.createArrayNode();
        byRoute.forEach((route, generations) -> generations.shares().forEach(share -> rows.addObject()
                .put("route", route)
                .put("sizes", share.band().label())
                .put("requests", share.requests())
                .put("servedShare", share.servedShare())
                .put("routeServedShare", share.routeServedShare())
                .put("ofRoute", share.ratioToRoute().getOrNull())
                .put("tooSmall", share.isUnderserved())));
        return rows;
    }

    private static String text(SizeBandShare share) {
        String ratioToRoute = share.ratioToRoute()
                .map(ratio -> String.format(Locale.ROOT, "%.2f of the route's", ratio))
                .getOrElse("nothing of the route was");
        return String.format(
                Locale.ROOT,
                "  %7d  %s: %.2f served, %s%s",
                share.requests(),
                share.band().label(),
                share.servedShare(),
                ratioToRoute,
                share.isUnderserved() ? ", LESS THAN HALF" : "");
    }
}
