package org.rattanplank.core.request;

import java.util.List;
import java.util.Objects;

/** How a request ended; every request has exactly one outcome. Immutable and thread safe. */
public sealed interface Outcome {

    /**
     * The name that callers and messages see.
     *
     * @return answered, not run or unknown
     */
    String label();

    /**
     * The whole answer is there.
     *
     * @param answer the answer
     * @param path the hosts and the target that it took, in order
     */
    record Answered(Answer answer, List<String> path) implements Outcome {
        public Answered {
            Objects.requireNonNull(answer, "answer");
            path = List.copyOf(path);
        }

        @Override
        public String label() {
            return "answered";
        }
    }

    /**
     * The request surely did not run and will not run.
     *
     * @param failure why not
     * @param retryAfterMillis when to come back, zero if coming back does not help
     */
    record NotRun(Failure failure, long retryAfterMillis) implements Outcome {
        public NotRun {
            Objects.requireNonNull(failure, "failure");
        }

        @Override
        public String label() {
            return "not run";
        }
    }

    /**
     * The request may have run, wholly or in part.
     *
     * @param failure what is known
     */
    record Unknown(Failure failure) implements Outcome {
        public Unknown {
            Objects.requireNonNull(failure, "failure");
        }

        @Override
        public String label() {
            return "unknown";
        }
    }
}
