package org.rattanplank.standins.caller;

import java.util.Objects;

/**
 * The result of a call as the caller observes it. Immutable and thread safe.
 *
 * @param reference the caller's own name for the call
 * @param requestId the request's identifier as the system states it, or empty
 * @param outcome the outcome
 * @param status the HTTP status, or zero if no response arrived
 * @param path the hosts and the target that the response passed, or empty
 * @param body the response body as far as it was received
 * @param matchesRequest whether an answered call got the complete response to this call
 * @param reason the reason of a failure, or empty
 * @param retryAfterSeconds the delay after which the caller may retry, or zero
 */
public record CallResult(
        String reference,
        String requestId,
        CallOutcome outcome,
        int status,
        String path,
        String body,
        boolean matchesRequest,
        String reason,
        long retryAfterSeconds) {
    public CallResult {
        Objects.requireNonNull(reference, "reference");
        Objects.requireNonNull(outcome, "outcome");
    }

    /**
     * Returns the result of a call without a response.
     *
     * @param reference the caller's own name for the call
     * @param outcome the outcome
     * @param reason the reason
     * @return the result
     */
    public static CallResult withoutResponse(String reference, CallOutcome outcome, String reason) {
        return new CallResult(reference, "", outcome, 0, "", "", false, reason, 0);
    }

    /**
     * Returns whether the caller got a wrong response for a successful one.
     *
     * @return whether the call was answered with an incomplete response or with the response to another call
     */
    public boolean isWrongResponse() {
        return outcome == CallOutcome.ANSWERED && !matchesRequest;
    }
}
