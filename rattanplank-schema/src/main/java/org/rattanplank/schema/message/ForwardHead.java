// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Carries the status and media type of the response to a forwarded request, sent before its first chunk.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request's identifier
 * @param attempt the sender's attempt number
 * @param status the HTTP status of the response
 * @param contentType the media type of the response
 * @param target the responding target, or empty if it is not known yet
 */
public record ForwardHead(String requestId, long attempt, long status, String contentType,
        String target) implements RequestMessage {
    public ForwardHead {
        requestId = Objects.requireNonNullElse(requestId, "");
        contentType = Objects.requireNonNullElse(contentType, "");
        target = Objects.requireNonNullElse(target, "");
    }
}
