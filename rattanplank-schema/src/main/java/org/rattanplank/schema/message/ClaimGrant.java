// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Notifies the claiming host that every member has stored the claim, so that the call may be executed.
 *
 * <p>Immutable and thread safe.
 *
 * @param account the caller's account
 * @param key the caller's idempotency key
 * @param requestId the request that may be executed
 */
public record ClaimGrant(String account, String key, String requestId) implements ClaimMessage {
    public ClaimGrant {
        account = Objects.requireNonNullElse(account, "");
        key = Objects.requireNonNullElse(key, "");
        requestId = Objects.requireNonNullElse(requestId, "");
    }
}
