package org.rattanplank.core.claim;

import java.util.Objects;

import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.Failure;

/** Decision on a request with an idempotency key. Immutable and thread safe. */
public sealed interface ClaimDecision {

    /** The request runs the call; no other request with this key may. */
    record Run() implements ClaimDecision {}

    /**
     * The call has run, and its stored answer is replayed.
     *
     * @param answer the stored answer
     */
    record Replay(Answer answer) implements ClaimDecision {
        public Replay {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * The call may have run, and its answer is not available.
     *
     * @param failure the reason
     */
    record Unknown(Failure failure) implements ClaimDecision {
        public Unknown {
            Objects.requireNonNull(failure, "failure");
        }
    }

    /**
     * The call did not run, and this request will not run it.
     *
     * @param failure the reason
     * @param retryAfterMillis the time after which to retry, zero if a retry does not help
     */
    record NotRun(Failure failure, long retryAfterMillis) implements ClaimDecision {
        public NotRun {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
