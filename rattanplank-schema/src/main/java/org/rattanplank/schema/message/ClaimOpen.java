// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Requests the claim of a key from its primary, as permission to execute a call.
 *
 * <p>Immutable and thread safe.
 *
 * @param viewNumber the sender's view
 * @param account the caller's account
 * @param key the caller's idempotency key
 * @param requestId the requesting request's identifier
 */
public record ClaimOpen(long viewNumber, String account, String key,
        String requestId) implements ClaimMessage {
    public ClaimOpen {
        account = Objects.requireNonNullElse(account, "");
        key = Objects.requireNonNullElse(key, "");
        requestId = Objects.requireNonNullElse(requestId, "");
    }
}
