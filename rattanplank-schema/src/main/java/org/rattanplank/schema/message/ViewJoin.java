// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Requests a member to copy all claims to the sender and then to add the sender to the view.
 *
 * <p>Immutable and thread safe.
 *
 * @param sessionId the copying session of the sender, or empty
 */
public record ViewJoin(String sessionId) implements ClaimMessage {
    public ViewJoin {
        sessionId = Objects.requireNonNullElse(sessionId, "");
    }
}
