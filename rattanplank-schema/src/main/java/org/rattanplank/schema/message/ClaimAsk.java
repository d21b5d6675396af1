// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Requests the outcome of a claimed call from the host that owns the claim; not answered while the call is running.
 *
 * <p>Immutable and thread safe.
 *
 * @param incarnation the incarnation of the queried process, its start time in milliseconds
 * @param account the caller's account
 * @param key the caller's idempotency key
 * @param requestId the request that owns the claim
 */
public record ClaimAsk(long incarnation, String account, String key,
        String requestId) implements ClaimMessage {
    public ClaimAsk {
        account = Objects.requireNonNullElse(account, "");
        key = Objects.requireNonNullElse(key, "");
        requestId = Objects.requireNonNullElse(requestId, "");
    }
}
