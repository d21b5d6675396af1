package org.rattanplank.core.intent;

import java.util.Objects;

/**
 * The request limits of an account. Immutable and thread safe.
 *
 * @param account the account's name
 * @param requestsPerSecond maximum average requests per second, zero for no limit
 * @param concurrent maximum requests in flight, zero for no limit
 */
public record Limit(String account, double requestsPerSecond, int concurrent) {
    public Limit {
        Objects.requireNonNull(account, "account");
    }
}
