package org.rattanplank.core.claim;

import java.util.Objects;

/**
 * A request of this host that waits for its grant. Immutable and thread safe.
 *
 * @param key the idempotency key
 * @param requestId the request
 * @param waitingSinceMillis the time since which it waits for its own grant, rather than for the result of another
 *     request
 * @param lastSentAtMillis the time at which its latest message was sent
 * @param sentToPrimary whether the claim was ever sent to the primary, so that copies of it may exist
 */
record PendingOpen(
        ClaimKey key, String requestId, long waitingSinceMillis, long lastSentAtMillis, boolean sentToPrimary) {
    PendingOpen {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(requestId, "requestId");
    }

    static PendingOpen of(ClaimKey key, String requestId, long nowMillis) {
        return new PendingOpen(key, requestId, nowMillis, Long.MIN_VALUE / 2, false);
    }

    PendingOpen withSentToPrimary(long nowMillis) {
        return new PendingOpen(key, requestId, waitingSinceMillis, nowMillis, true);
    }

    PendingOpen withHolderQueried(long nowMillis) {
        return new PendingOpen(key, requestId, nowMillis, nowMillis, sentToPrimary);
    }

    PendingOpen withRetryDue() {
        return new PendingOpen(key, requestId, waitingSinceMillis, Long.MIN_VALUE / 2, sentToPrimary);
    }
}
