// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * The outcome of a forwarded request; an answer counts as whole only with it.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request's identifier
 * @param attempt the attempt that is answered
 * @param outcome answered, not run or unknown
 * @param chunks the number of parts sent before this message
 * @param step the step at which an error arose, or empty
 * @param peer the peer at which an error arose, or empty
 * @param reason a short sentence on the error, or empty
 * @param target the target that answered, or empty
 * @param retryAfterMillis when to come back, zero if it does not apply
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
