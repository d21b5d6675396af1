package org.rattanplank.core.intent;

import java.util.Objects;

/**
 * The most that an account may ask for. Immutable and thread safe.
 *
 * @param account the account's name
 * @param requestsPerSecond requests a second on average, zero for no limit
 * @param concurrent requests in flight at once, zero for no limit
 */
public record Limit(String account, double requestsPerSecond, int concurrent) {
    public Limit {
        Objects.requireNonNull(account, "account");
    }
}
