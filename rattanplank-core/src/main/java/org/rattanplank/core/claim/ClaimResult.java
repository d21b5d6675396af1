package org.rattanplank.core.claim;

import java.util.Objects;

import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.Failure;

/** Result of a claimed call. Immutable and thread safe. */
public sealed interface ClaimResult {

    /**
     * The call ran and was answered.
     *
     * @param answer the answer
     */
    record Answered(Answer answer) implements ClaimResult {
        public Answered {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /** The call definitely did not run, so the key may be claimed again. */
    record NotRun() implements ClaimResult {}

    /**
     * The call may have run.
     *
     * @param failure the reason
     */
    record Unknown(Failure failure) implements ClaimResult {
        public Unknown {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
