// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Requests the view that a host knows, and whether a proposed view was formed.
 *
 * <p>Immutable and thread safe.
 *
 * @param viewNumber the sender's view
 * @param changeId the change that the sender agreed to, or empty
 */
public record ViewAsk(long viewNumber, String changeId) implements ClaimMessage {
    public ViewAsk {
        changeId = Objects.requireNonNullElse(changeId, "");
    }
}
