// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Carries the outcome of a forwarded request; a response is complete only with this message.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request's identifier
 * @param attempt the sender's attempt number
 * @param outcome answered, not run or unknown
 * @param chunks the number of chunks sent before this message
 * @param step the step at which an error occurred, or empty
 * @param peer the peer at which an error occurred, or empty
 * @param reason a short description of the error, or empty
 * @param target the target that responded, or empty
 * @param retryAfterMillis the delay before a retry in milliseconds, zero if it does not apply
 */
public record ForwardEnd(String requestId, long attempt, String outcome, long chunks, String step,
        String peer, String reason, String target,
        long retryAfterMillis) implements RequestMessage {
    public ForwardEnd {
        requestId = Objects.requireNonNullElse(requestId, "");
        outcome = Objects.requireNonNullElse(outcome, "");
        step = Objects.requireNonNullElse(step, "");
        peer = Objects.requireNonNullElse(peer, "");
        reason = Objects.requireNonNullElse(reason, "");
        target = Objects.requireNonNullElse(target, "");
    }
}
