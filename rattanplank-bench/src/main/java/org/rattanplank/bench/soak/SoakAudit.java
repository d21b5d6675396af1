package org.rattanplank.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.rattanplank.standins.site.SiteReplica;

/**
 * Checks the responses that callers received against the requests that replicas executed.
 *
 * <p>Guarantees checked: a booking is executed at most once; a request reported as not run was not executed; a complete
 * response is the entire response to its own request; the events of a stream are delivered in order, exactly once,
 * starting with the first; no request is quarantined because of another one's crashes. Stateless and thread safe.
 */
final class SoakAudit {
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    /** The statuses that promise that a request was not executed: no valid key, over the allowance, unavailable. */
    private static final Set<Integer> NOT_RUN = Set.of(401, 429, STATUS_UNAVAILABLE);

    private static final String QUARANTINED = "quarantined";
    private static final Pattern EVENT_PATTERN =
            Pattern.compile("id: (\\d+)\ndata: line (\\d+) for (\\S+) by \\S+\n\n");

    private SoakAudit() {}

    static List<String> violations(List<SoakCall> calls, Map<String, Integer> runCounts) {
        List<String> violations = new ArrayList<>();
        for (SoakCall call : calls) {
            int runCount = runCounts.getOrDefault(call.id(), 0);
            if (!call.stream() && runCount > 1) {
                violations.add(call.id() + " is a booking and was executed " + runCount + " times");
            }
            if (!call.stream() && NOT_RUN.contains(call.status()) && runCount > 0) {
                violations.add(call.id() + " was answered " + call.status() + ", as not run, but was executed");
            }
            if (call.status() == STATUS_UNAVAILABLE && call.body().contains(QUARANTINED)) {
                violations.add(call.id() + " crashed no replica but was quarantined");
            }
            if (call.status() == STATUS_OK) {
                checkResponse(call, violations);
            }
        }
        return violations;
    }

    private static void checkResponse(SoakCall call, List<String> violations) {
        if (!call.stream()) {
            if (call.complete() && !call.body().contains("\"for\":\"" + call.id() + "\"")) {
                violations.add(call.id() + " received the response to another request: " + call.body());
            }
            return;
        }
        Matcher events = EVENT_PATTERN.matcher(call.body());
        int eventCount = 0;
        int previousEnd = 0;
        while (events.find()) {
            eventCount++;
            if (events.start() != previousEnd
                    || Integer.parseInt(events.group(1)) != eventCount
                    || !events.group(3).equals(call.id())) {
                violations.add(call.id() + " received events out of order or of another request: " + call.body());
                return;
            }
            previousEnd = events.end();
        }
        if (call.complete() && eventCount != SiteReplica.EVENT_COUNT) {
            violations.add(call.id() + " ended as complete after " + eventCount + " events");
        }
    }
}
