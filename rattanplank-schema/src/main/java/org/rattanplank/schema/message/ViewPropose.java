// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Requests a member to stop its view, and a joining host to prepare for the next one.
 *
 * <p>Immutable and thread safe.
 *
 * @param fromNumber the number of the view to stop
 * @param sessionId the copying session of a joining host, or empty
 * @param view the next view
 */
public record ViewPropose(long fromNumber, String sessionId,
        ViewRecord view) implements ClaimMessage {
    public ViewPropose {
        sessionId = Objects.requireNonNullElse(sessionId, "");
    }
}
