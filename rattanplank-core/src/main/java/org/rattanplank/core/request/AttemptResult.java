package org.rattanplank.core.request;

import java.util.List;
import java.util.Objects;

/** The result of one attempt at a target or at another entry host. Immutable and thread safe. */
public sealed interface AttemptResult {

    /**
     * The complete answer was received, with the identifier of the request.
     *
     * @param answer the answer
     * @param path the hosts and the target behind the peer, empty if a target answered directly
     */
    record Completed(Answer answer, List<String> path) implements AttemptResult {
        public Completed {
            Objects.requireNonNull(answer, "answer");
            path = List.copyOf(path);
        }
    }

    /**
     * The request definitely did not run: no byte was handed to the transport, or the other side rejected it before
     * running it.
     *
     * @param failure the reason
     * @param retryAfterMillis the retry delay that the other side requested, zero if none
     */
    record NotRun(Failure failure, long retryAfterMillis) implements AttemptResult {
        public NotRun {
            Objects.requireNonNull(failure, "failure");
        }
    }

    /**
     * The answer was lost after bytes had been handed to the transport.
     *
     * @param failure the failure that was observed
     * @param deliveredEvents number of stream events that were already delivered to the caller
     * @param targetCrashed whether the target refused a connection right after
     */
    record Lost(Failure failure, long deliveredEvents, boolean targetCrashed) implements AttemptResult {
        public Lost {
            Objects.requireNonNull(failure, "failure");
        }

        /**
         * Creates the result of an attempt whose target, as far as known, has not crashed.
         *
         * @param failure the failure that was observed
         * @param deliveredEvents number of stream events that were already delivered to the caller
         */
        public Lost(Failure failure, long deliveredEvents) {
            this(failure, deliveredEvents, false);
        }
    }
}
