package org.rattanplank.core.claim;

import java.util.Objects;

import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.Failure;

/** What a request with an idempotency key may do. Immutable and thread safe. */
public sealed interface ClaimDecision {

    /** Run the call; no other request with this key may. */
    record Run() implements ClaimDecision {}

    /**
     * The call has run, and this is its answer.
     *
     * @param answer the kept answer
     */
    record Kept(Answer answer) implements ClaimDecision {
        public Kept {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * The call may have run, and nobody has its answer.
     *
     * @param failure what is known
     */
    record Unknown(Failure failure) implements ClaimDecision {
        public Unknown {
            Objects.requireNonNull(failure, "failure");
        }
    }

    /**
     * The call did not run and this request will not run it.
     *
     * @param failure why not
     * @param retryAfterMillis when to come back, zero if coming back does not help
     */
    record NotRun(Failure failure, long retryAfterMillis) implements ClaimDecision {
        public NotRun {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
