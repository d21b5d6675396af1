// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * A part of a forwarded request's answer; parts are numbered from zero without gaps.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request's identifier
 * @param attempt the attempt that is answered
 * @param number the part's number
 * @param body the part's bytes
 */
public record ForwardChunk(String requestId, long attempt, long number,
        byte[] body) implements RequestMessage {
    public ForwardChunk {
        requestId = Objects.requireNonNullElse(requestId, "");
        body = body == null ? new byte[0] : body;
    }
}
