// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Acknowledges that the joining host has stored a chunk and all previous ones.
 *
 * <p>Immutable and thread safe.
 *
 * @param sessionId the copying session
 * @param number the chunk's number
 */
public record ViewSynced(String sessionId, long number) implements ClaimMessage {
    public ViewSynced {
        sessionId = Objects.requireNonNullElse(sessionId, "");
    }
}
