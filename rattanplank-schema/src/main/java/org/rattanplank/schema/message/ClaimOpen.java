// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Asks the key's primary for the right to run a call.
 *
 * <p>Immutable and thread safe.
 *
 * @param viewNumber the sender's view
 * @param account the caller's account
 * @param key the caller's idempotency key
 * @param requestId the request that asks
 */
public record ClaimOpen(long viewNumber, String account, String key,
        String requestId) implements ClaimMessage {
    public ClaimOpen {
        account = Objects.requireNonNullElse(account, "");
        key = Objects.requireNonNullElse(key, "");
        requestId = Objects.requireNonNullElse(requestId, "");
    }
}
