package org.rattanplank.core.request;

import java.util.List;
import java.util.Objects;

/** The outcome of a request; every request has exactly one. Immutable and thread safe. */
public sealed interface Outcome {

    /**
     * Returns the name used in answers to callers and in messages.
     *
     * @return answered, not run or unknown
     */
    String label();

    /**
     * The complete answer was received.
     *
     * @param answer the answer
     * @param path the hosts and the target that handled the request, in order
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
     * The request definitely did not run and will not run.
     *
     * @param failure the reason
     * @param retryAfterMillis time after which a retry may succeed, zero if a retry does not help
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
     * The request may have run, completely or partially.
     *
     * @param failure the failure that was observed
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
