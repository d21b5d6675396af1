// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;
import java.util.Objects;

/**
 * Carries one chunk of all claims to a joining host; chunks are numbered from zero.
 *
 * <p>Immutable and thread safe.
 *
 * @param sessionId the copying session
 * @param number the chunk's number
 * @param claims the claims
 */
public record ViewSync(String sessionId, long number,
        List<ClaimEntry> claims) implements ClaimMessage {
    public ViewSync {
        sessionId = Objects.requireNonNullElse(sessionId, "");
        claims = claims == null ? List.of() : List.copyOf(claims);
    }
}
