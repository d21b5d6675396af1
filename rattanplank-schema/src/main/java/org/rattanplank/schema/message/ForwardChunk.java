// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Carries one chunk of the response to a forwarded request; chunks are numbered from zero without gaps.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request's identifier
 * @param attempt the sender's attempt number
 * @param number the number of the chunk
 * @param body the bytes of the chunk
 */
public record ForwardChunk(String requestId, long attempt, long number,
        byte[] body) implements RequestMessage {
    public ForwardChunk {
        requestId = Objects.requireNonNullElse(requestId, "");
        body = body == null ? new byte[0] : body;
    }
}
