// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * The joining host's word that it holds a chunk and all before it.
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
