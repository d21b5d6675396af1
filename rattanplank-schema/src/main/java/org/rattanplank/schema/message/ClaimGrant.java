// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Tells the claiming host that every member holds the claim, so that the call may run.
 *
 * <p>Immutable and thread safe.
 *
 * @param account the caller's account
 * @param key the caller's idempotency key
 * @param requestId the request that may run
 */
public record ClaimGrant(String account, String key, String requestId) implements ClaimMessage {
    public ClaimGrant {
        account = Objects.requireNonNullElse(account, "");
        key = Objects.requireNonNullElse(key, "");
        requestId = Objects.requireNonNullElse(requestId, "");
    }
}
