package org.rattanplank.core.request;

import java.util.List;
import java.util.Objects;

/** How one attempt at a target or at another entry host ended. Immutable and thread safe. */
public sealed interface AttemptResult {

    /**
     * The whole answer came, with the request's own identifier.
     *
     * @param answer the answer
     * @param path the hosts and the target behind the peer, empty if a target answered directly
     */
    record Whole(Answer answer, List<String> path) implements AttemptResult {
        public Whole {
            Objects.requireNonNull(answer, "answer");
            path = List.copyOf(path);
        }
    }

    /**
     * The request surely did not run: no byte reached the transport, or the other side refused it before running.
     *
     * @param failure why
     * @param retryAfterMillis when the other side asks to come back, zero if it does not say
     */
    record NotRun(Failure failure, long retryAfterMillis) implements AttemptResult {
        public NotRun {
            Objects.requireNonNull(failure, "failure");
        }
    }

    /**
     * The answer was lost after bytes had been handed to the transport.
     *
     * @param failure what is known
     * @param callerParts how many parts of a streamed answer the caller already has
     */
    record Lost(Failure failure, long callerParts) implements AttemptResult {
        public Lost {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
