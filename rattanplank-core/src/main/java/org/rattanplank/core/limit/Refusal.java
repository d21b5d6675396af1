package org.rattanplank.core.limit;

import java.util.Objects;

/**
 * Why there is no room for a request. Immutable and thread safe.
 *
 * @param reason a short sentence
 * @param retryAfterMillis when to come back, zero if coming back does not help
 */
public record Refusal(String reason, long retryAfterMillis) {
    public Refusal {
        Objects.requireNonNull(reason, "reason");
    }
}
