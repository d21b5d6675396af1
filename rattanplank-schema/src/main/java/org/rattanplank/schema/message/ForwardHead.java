// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * The status and media type of a forwarded request's answer, sent before its first chunk.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request's identifier
 * @param attempt the attempt that is answered
 * @param status the HTTP status of the answer
 * @param contentType the media type of the answer
 * @param target the target that answers, or empty if it is not known yet
 */
public record ForwardHead(String requestId, long attempt, long status, String contentType,
        String target) implements RequestMessage {
    public ForwardHead {
        requestId = Objects.requireNonNullElse(requestId, "");
        contentType = Objects.requireNonNullElse(contentType, "");
        target = Objects.requireNonNullElse(target, "");
    }
}
