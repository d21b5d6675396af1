package org.rattanplank.core.route;

import java.util.List;
import java.util.Objects;

import org.rattanplank.core.request.Failure;

/** The routing decision for one attempt. Immutable and thread safe. */
public sealed interface RoutingDecision {

    /**
     * Returns the candidates that were considered.
     *
     * @return the candidates
     */
    List<Candidate> candidates();

    /**
     * Sends the attempt to a destination.
     *
     * @param route the destination
     * @param candidates the candidates that were considered
     */
    record Dispatch(Route route, List<Candidate> candidates) implements RoutingDecision {
        public Dispatch {
            Objects.requireNonNull(route, "route");
            candidates = List.copyOf(candidates);
        }
    }

    /**
     * Rejects the attempt at once.
     *
     * @param failure the reason
     * @param retryAfterMillis when the caller may retry, zero if a retry would not help
     * @param candidates the candidates that were considered
     */
    record Reject(Failure failure, long retryAfterMillis, List<Candidate> candidates) implements RoutingDecision {
        public Reject {
            Objects.requireNonNull(failure, "failure");
            candidates = List.copyOf(candidates);
        }
    }
}
