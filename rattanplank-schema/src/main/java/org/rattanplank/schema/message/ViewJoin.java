// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Asks a member to copy all claims to the sender and then to take it into the view.
 *
 * <p>Immutable and thread safe.
 *
 * @param sessionId the copying session that the sender is in, or empty
 */
public record ViewJoin(String sessionId) implements ClaimMessage {
    public ViewJoin {
        sessionId = Objects.requireNonNullElse(sessionId, "");
    }
}
