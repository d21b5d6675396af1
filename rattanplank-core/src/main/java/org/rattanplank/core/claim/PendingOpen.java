package org.rattanplank.core.claim;

import java.util.Objects;

/**
 * A request of this host that waits for the right to run. Immutable and thread safe.
 *
 * @param key its key
 * @param requestId the request
 * @param waitingSinceMillis since when it waits for its own right, rather than for another request's end
 * @param lastSentAtMillis when the primary was last asked
 * @param sentToPrimary whether the primary was ever asked, so that copies of the claim may be about
 */
record PendingOpen(ClaimKey key, String requestId, long waitingSinceMillis, long lastSentAtMillis, boolean sentToPrimary) {
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
