// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * The state of one idempotency key at a host.
 *
 * <p>Immutable and thread safe.
 *
 * @param account the caller's account
 * @param key the caller's idempotency key
 * @param requestId the claiming request
 * @param host the host of that request
 * @param incarnation the incarnation of that host, its start time in milliseconds
 * @param viewNumber the view in which the claim was ordered
 * @param sequence its position in the order of the claims of this key in that view
 * @param claimedAtMillis the time at which it was ordered, in milliseconds since the epoch
 * @param state running, free, answered or unknown
 * @param status the HTTP status of a stored response
 * @param contentType the media type of a stored response
 * @param body the body of a stored response
 * @param step the step at which an error occurred, or empty
 * @param peer the peer at which an error occurred, or empty
 * @param reason a short description of the error, or empty
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
