// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * A member's word that it knows how a claimed call ended.
 *
 * <p>Immutable and thread safe.
 *
 * @param account the caller's account
 * @param key the caller's idempotency key
 * @param requestId the request that ran or did not
 */
public record ClaimSettled(String account, String key, String requestId) implements ClaimMessage {
    public ClaimSettled {
        account = Objects.requireNonNullElse(account, "");
        key = Objects.requireNonNullElse(key, "");
        requestId = Objects.requireNonNullElse(requestId, "");
    }
}
