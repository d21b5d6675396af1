package org.rattanplank.core.claim;

import java.util.Objects;

import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.Failure;

/** How a claimed call ended. Immutable and thread safe. */
public sealed interface ClaimResult {

    /**
     * It ran, and this is its answer.
     *
     * @param answer the answer
     */
    record Answered(Answer answer) implements ClaimResult {
        public Answered {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /** It surely did not run, so the key may be claimed again. */
    record NotRun() implements ClaimResult {}

    /**
     * It may have run.
     *
     * @param failure what is known
     */
    record Unknown(Failure failure) implements ClaimResult {
        public Unknown {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
