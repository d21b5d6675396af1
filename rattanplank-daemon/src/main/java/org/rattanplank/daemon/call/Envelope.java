package org.rattanplank.daemon.call;

import java.util.Objects;

/**
 * The part of a request that the core does not see. Immutable and thread safe as long as nobody writes into the body.
 *
 * @param method the HTTP method
 * @param path the path and query, as a target sees it
 * @param contentType the body's media type, or empty
 * @param body the body
 * @param traceParent the W3C trace context of the span above, or empty
 * @param targetIdBase what identifiers for targets begin with; the attempt's number follows
 */
public record Envelope(
        String method, String path, String contentType, byte[] body, String traceParent, String targetIdBase) {
    public Envelope {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        contentType = Objects.requireNonNullElse(contentType, "");
        body = body == null ? new byte[0] : body;
        traceParent = Objects.requireNonNullElse(traceParent, "");
        Objects.requireNonNull(targetIdBase, "targetIdBase");
    }

    @Override
    public String toString() {
        return "Envelope[" + method + ", bytes=" + body.length + "]";
    }
}
