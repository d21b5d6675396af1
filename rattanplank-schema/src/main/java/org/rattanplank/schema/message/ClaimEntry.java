// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * What a host holds about one idempotency key.
 *
 * <p>Immutable and thread safe.
 *
 * @param account the caller's account
 * @param key the caller's idempotency key
 * @param requestId the request that claims
 * @param host the host of that request
 * @param incarnation the start time of that host's process
 * @param viewNumber the view in which the claim was ordered
 * @param sequence its place among the claims of this key in that view
 * @param claimedAtMillis when it was ordered
 * @param state running, free, answered or unknown
 * @param status the HTTP status of a kept answer
 * @param contentType the media type of a kept answer
 * @param body the bytes of a kept answer
 * @param step the step at which an error arose, or empty
 * @param peer the peer at which an error arose, or empty
 * @param reason a short sentence on the error, or empty
 */
public record ClaimEntry(String account, String key, String requestId, String host,
        long incarnation, long viewNumber, long sequence, long claimedAtMillis, String state,
        long status, String contentType, byte[] body, String step, String peer, String reason) {
    public ClaimEntry {
        account = Objects.requireNonNullElse(account, "");
        key = Objects.requireNonNullElse(key, "");
        requestId = Objects.requireNonNullElse(requestId, "");
        host = Objects.requireNonNullElse(host, "");
        state = Objects.requireNonNullElse(state, "");
        contentType = Objects.requireNonNullElse(contentType, "");
        body = body == null ? new byte[0] : body;
        step = Objects.requireNonNullElse(step, "");
        peer = Objects.requireNonNullElse(peer, "");
        reason = Objects.requireNonNullElse(reason, "");
    }
}
