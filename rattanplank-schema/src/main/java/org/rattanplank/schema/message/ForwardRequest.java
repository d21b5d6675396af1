// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;
import java.util.Objects;

/**
 * Forwards a request to be served on targets in the receiving host's region.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request's identifier
 * @param attempt the sender's attempt number
 * @param account the caller's account
 * @param service the requested service
 * @param path the path and query after the service name
 * @param method the HTTP method
 * @param contentType the media type of the body
 * @param workClass interactive, draft or background
 * @param repeatable whether the call may be executed more than once
 * @param idempotencyKey the caller's idempotency key, or empty
 * @param claimed whether the sender owns the claim of the key
 * @param homeRegion the home region of the account
 * @param residency the residency label, or empty
 * @param remainingMillis the time left until the deadline when sent, in milliseconds
 * @param promptTokens the estimated number of prompt tokens
 * @param maxTokens the maximum number of tokens to generate
 * @param prefixHashes hashes of the prompt's prefixes, shortest first
 * @param stream whether the response is streamed
 * @param passedHosts the hosts that have forwarded the request, in order
 * @param traceParent the W3C trace context, or empty
 * @param body the request body
 */
public record ForwardRequest(String requestId, long attempt, String account, String service,
        String path, String method, String contentType, String workClass, boolean repeatable,
        String idempotencyKey, boolean claimed, String homeRegion, String residency,
        long remainingMillis, long promptTokens, long maxTokens, List<Long> prefixHashes,
        boolean stream, List<String> passedHosts, String traceParent,
        byte[] body) implements RequestMessage {
    public ForwardRequest {
        requestId = Objects.requireNonNullElse(requestId, "");
        account = Objects.requireNonNullElse(account, "");
        service = Objects.requireNonNullElse(service, "");
        path = Objects.requireNonNullElse(path, "");
        method = Objects.requireNonNullElse(method, "");
        contentType = Objects.requireNonNullElse(contentType, "");
        workClass = Objects.requireNonNullElse(workClass, "");
        idempotencyKey = Objects.requireNonNullElse(idempotencyKey, "");
        homeRegion = Objects.requireNonNullElse(homeRegion, "");
        residency = Objects.requireNonNullElse(residency, "");
        prefixHashes = prefixHashes == null ? List.of() : List.copyOf(prefixHashes);
        passedHosts = passedHosts == null ? List.of() : List.copyOf(passedHosts);
        traceParent = Objects.requireNonNullElse(traceParent, "");
        body = body == null ? new byte[0] : body;
    }
}
