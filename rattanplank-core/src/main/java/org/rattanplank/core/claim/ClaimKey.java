package org.rattanplank.core.claim;

import java.util.Objects;

/**
 * Identifies calls that count as the same call. Immutable and thread safe.
 *
 * @param account the client account of the caller
 * @param key the idempotency key that the caller sent
 */
public record ClaimKey(String account, String key) {
    public ClaimKey {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(key, "key");
    }

    /**
     * Creates a claim key.
     *
     * @param account the client account of the caller
     * @param key the idempotency key that the caller sent
     * @return the claim key
     */
    public static ClaimKey of(String account, String key) {
        return new ClaimKey(account, key);
    }

    /**
     * Returns whether the idempotency key carries its creation time, as a version 7 UUID does.
     *
     * @return whether the age of the key can be determined
     */
    public boolean hasTime() {
        return KeyTimestamp.of(key).isDefined();
    }
}
