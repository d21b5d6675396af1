package org.rattanplank.core;

import java.util.List;
import java.util.Objects;

import org.rattanplank.core.route.RoutingDecision;

/**
 * The routing decisions and the outcome of a request. Immutable and thread safe.
 *
 * @param requestId the request
 * @param service the requested service
 * @param routings the routing decisions of its attempts, oldest first
 * @param outcome the outcome's label, empty while the request is in flight
 */
public record Explanation(String requestId, String service, List<RoutingDecision> routings, String outcome) {
    public Explanation {
        Objects.requireNonNull(requestId, "requestId");
        routings = List.copyOf(routings);
        outcome = Objects.requireNonNullElse(outcome, "");
    }

    Explanation withDecision(RoutingDecision decision) {
        return new Explanation(
                requestId,
                service,
                io.vavr.collection.List.ofAll(routings).append(decision).asJava(),
                outcome);
    }

    Explanation withOutcome(String label) {
        return new Explanation(requestId, service, routings, label);
    }
}
