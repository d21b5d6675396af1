// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Asks the host that holds a claim how its call ended; no answer while it runs.
 *
 * <p>Immutable and thread safe.
 *
 * @param incarnation the start time of the process that is asked
 * @param account the caller's account
 * @param key the caller's idempotency key
 * @param requestId the request that holds the claim
 */
public record ClaimAsk(long incarnation, String account, String key,
        String requestId) implements ClaimMessage {
    public ClaimAsk {
        account = Objects.requireNonNullElse(account, "");
        key = Objects.requireNonNullElse(key, "");
        requestId = Objects.requireNonNullElse(requestId, "");
    }
}
