package org.rattanplank.daemon.call;

import java.util.Objects;

import io.vavr.Lazy;
import org.rattanplank.core.quarantine.Fingerprint;

/**
 * The data of a request that the core does not use. Immutable and thread safe as long as the body array is not modified.
 *
 * @param method the HTTP method
 * @param path the path and query to send to a target
 * @param contentType the body's media type, or empty
 * @param body the body
 * @param traceParent the W3C trace context of the parent span, or empty
 * @param targetIdBase the prefix of request identifiers sent to targets; the attempt's number is appended
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

    /**
     * Returns the fingerprint of a request, which is the same at the host that receives it and at one that it is forwarded to.
     *
     * @param account the caller's account
     * @param service the requested service
     * @param method the HTTP method
     * @param path the path and query to send to a target
     * @param body the body to send to a target
     * @return the fingerprint, computed when it is first needed
     */
    public static Lazy<Fingerprint> fingerprint(
            String account, String service, String method, String path, byte[] body) {
        return Fingerprint.ofRequest(account + '/' + service, method, path, body);
    }

    @Override
    public String toString() {
        return "Envelope[" + method + ", bytes=" + body.length + "]";
    }
}
