// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Notifies the receiving host that the response is no longer needed.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request's identifier
 * @param attempt the abandoned attempt
 */
public record ForwardCancel(String requestId, long attempt) implements RequestMessage {
    public ForwardCancel {
        requestId = Objects.requireNonNullElse(requestId, "");
    }
}
