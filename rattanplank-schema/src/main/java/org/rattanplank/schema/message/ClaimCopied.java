// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Acknowledges that a member has stored a claim.
 *
 * <p>Immutable and thread safe.
 *
 * @param viewNumber the sender's view
 * @param account the caller's account
 * @param key the caller's idempotency key
 * @param requestId the claiming request
 * @param sequence the sequence number of the stored claim
 */
public record ClaimCopied(long viewNumber, String account, String key, String requestId,
        long sequence) implements ClaimMessage {
    public ClaimCopied {
        account = Objects.requireNonNullElse(account, "");
        key = Objects.requireNonNullElse(key, "");
        requestId = Objects.requireNonNullElse(requestId, "");
    }
}
