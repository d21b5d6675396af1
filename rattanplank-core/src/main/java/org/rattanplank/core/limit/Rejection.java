package org.rattanplank.core.limit;

import java.util.Objects;

/**
 * The reason for which a request is not admitted. Immutable and thread safe.
 *
 * @param reason a short sentence
 * @param retryAfterMillis time after which a retry may succeed, zero if a retry does not help
 */
public record Rejection(String reason, long retryAfterMillis) {
    public Rejection {
        Objects.requireNonNull(reason, "reason");
    }
}
