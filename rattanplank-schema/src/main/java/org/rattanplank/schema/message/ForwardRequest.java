// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;
import java.util.Objects;

/**
 * Asks the receiving host to serve a request on targets of its own region.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request's identifier
 * @param attempt the sender's attempt number
 * @param account the caller's account
 * @param service the service that is asked for
 * @param path the path and query behind the service
 * @param method the HTTP method
 * @param contentType the body's media type
 * @param workClass interactive, draft or background
 * @param repeatable whether the call may run more than once
 * @param idempotencyKey the caller's key, or empty
 * @param claimed whether the sender holds the claim of the key
 * @param homeRegion the home region of the account
 * @param residency the residency label, or empty
 * @param remainingMillis time left until the deadline when sent
 * @param promptTokens an estimate of the prompt's tokens
 * @param maxTokens the largest number of tokens to generate
 * @param prefixHashes hashes of the prompt's prefixes, shortest first
 * @param stream whether the answer is a stream
 * @param passedHosts hosts that the request has passed, oldest first
 * @param traceParent the W3C trace context, or empty
 * @param body the request's body
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
