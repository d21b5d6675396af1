package org.rattanplank.core.claim;

import java.util.Objects;

/**
 * A request of this host that waits for the right to run. Immutable and thread safe.
 *
 * @param key its key
 * @param requestId the request
 * @param sinceMillis since when it waits for its own right, rather than for another request's end
 * @param sentMillis when the primary was last asked
 * @param asked whether the primary was ever asked, so that copies of the claim may be about
 */
record PendingOpen(ClaimKey key, String requestId, long sinceMillis, long sentMillis, boolean asked) {
    PendingOpen {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(requestId, "requestId");
    }

    static PendingOpen of(ClaimKey key, String requestId, long nowMillis) {
        return new PendingOpen(key, requestId, nowMillis, Long.MIN_VALUE / 2, false);
    }

    PendingOpen sent(long nowMillis) {
        return new PendingOpen(key, requestId, sinceMillis, nowMillis, true);
    }

    PendingOpen joined(long nowMillis) {
        return new PendingOpen(key, requestId, nowMillis, nowMillis, asked);
    }

    PendingOpen afresh() {
        return new PendingOpen(key, requestId, sinceMillis, Long.MIN_VALUE / 2, asked);
    }
}
