// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Tells the receiving host that the answer is no longer wanted.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request's identifier
 * @param attempt the attempt that is given up
 */
public record ForwardCancel(String requestId, long attempt) implements RequestMessage {
    public ForwardCancel {
        requestId = Objects.requireNonNullElse(requestId, "");
    }
}
