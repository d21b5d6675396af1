package org.rattanplank.core.route;

import java.util.List;
import java.util.Objects;

import org.rattanplank.core.request.Failure;

/** The router's decision on one attempt. Immutable and thread safe. */
public sealed interface Routing {

    /**
     * What was considered.
     *
     * @return the candidates
     */
    List<Candidate> candidates();

    /**
     * Go there.
     *
     * @param route where
     * @param candidates what was considered
     */
    record Go(Route route, List<Candidate> candidates) implements Routing {
        public Go {
            Objects.requireNonNull(route, "route");
            candidates = List.copyOf(candidates);
        }
    }

    /**
     * Give the attempt up at once.
     *
     * @param failure why
     * @param retryAfterMillis when to come back, zero if coming back does not help
     * @param candidates what was considered
     */
    record Refuse(Failure failure, long retryAfterMillis, List<Candidate> candidates) implements Routing {
        public Refuse {
            Objects.requireNonNull(failure, "failure");
            candidates = List.copyOf(candidates);
        }
    }
}
