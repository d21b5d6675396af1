package org.rattanplank.standins.caller;

import java.util.Objects;

/**
 * How a call ended for its caller. Immutable and thread safe.
 *
 * @param reference the caller's own name for the call
 * @param requestId the request's identifier as the system states it, or empty
 * @param outcome the outcome
 * @param status the HTTP status, or zero if none came
 * @param path the hosts and the target that the answer took, or empty
 * @param body the answer as far as it came
 * @param own whether an answered call brought the whole answer to this very call
 * @param reason what went wrong, or empty
 * @param retryAfterSeconds when to come back, or zero
 */
public record CallResult(
        String reference,
        String requestId,
        CallOutcome outcome,
        int status,
        String path,
        String body,
        boolean own,
        String reason,
        long retryAfterSeconds) {
    public CallResult {
        Objects.requireNonNull(reference, "reference");
        Objects.requireNonNull(outcome, "outcome");
    }

    /**
     * Makes the result of a call without a response.
     *
     * @param reference the caller's own name for the call
     * @param outcome the outcome
     * @param reason what went wrong
     * @return the result
     */
    public static CallResult withoutResponse(String reference, CallOutcome outcome, String reason) {
        return new CallResult(reference, "", outcome, 0, "", "", false, reason, 0);
    }

    /**
     * Tells whether the caller took something for a whole answer that is not.
     *
     * @return whether the call was answered with a part, or with the answer to another call
     */
    public boolean isWrongAnswer() {
        return outcome == CallOutcome.ANSWERED && !own;
    }
}
