package org.rattanplank.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.rattanplank.standins.site.SiteReplica;

/**
 * Checks what callers saw against what replicas ran.
 *
 * <p>A booking runs at most once; "not run" is true; a whole answer is the whole answer of its own request; the events of
 * a stream come in order, each once, from the first. Stateless and thread safe.
 */
final class SoakAudit {
    private static final int OK = 200;
    private static final int NOT_RUN = 503;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: line (\\d+) for (\\S+) by \\S+\n\n");

    private SoakAudit() {}

    static List<String> broken(List<SoakCall> calls, Map<String, Integer> runs) {
        List<String> broken = new ArrayList<>();
        for (SoakCall call : calls) {
            int ran = runs.getOrDefault(call.id(), 0);
            if (!call.stream() && ran > 1) {
                broken.add(call.id() + " is a booking and ran " + ran + " times");
            }
            if (!call.stream() && call.status() == NOT_RUN && ran > 0) {
                broken.add(call.id() + " was answered as not run and ran");
            }
            if (call.status() == OK) {
                check(call, broken);
            }
        }
        return broken;
    }

    private static void check(SoakCall call, List<String> broken) {
        if (!call.stream()) {
            if (call.whole() && !call.body().contains("\"for\":\"" + call.id() + "\"")) {
                broken.add(call.id() + " got the answer of another request: " + call.body());
            }
            return;
        }
        Matcher events = EVENT.matcher(call.body());
        int seen = 0;
        int end = 0;
        while (events.find()) {
            seen++;
            if (events.start() != end
                    || Integer.parseInt(events.group(1)) != seen
                    || !events.group(3).equals(call.id())) {
                broken.add(call.id() + " got its events out of order or of another request: " + call.body());
                return;
            }
            end = events.end();
        }
        if (call.whole() && seen != SiteReplica.EVENTS) {
            broken.add(call.id() + " ended as whole after " + seen + " events");
        }
    }
}
