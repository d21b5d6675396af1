package org.rattanplank.core.claim;

import java.util.Objects;

/**
 * What makes two calls the same call. Immutable and thread safe.
 *
 * @param account the caller's account
 * @param key the caller's idempotency key
 */
public record ClaimKey(String account, String key) {
    public ClaimKey {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(key, "key");
    }

    /**
     * Makes a key.
     *
     * @param account the caller's account
     * @param key the caller's idempotency key
     * @return the key
     */
    public static ClaimKey of(String account, String key) {
        return new ClaimKey(account, key);
    }

    /**
     * Tells whether the key carries the time at which it was made, as a version 7 UUID does.
     *
     * @return whether its age can be known
     */
    public boolean hasTime() {
        return KeyTimestamp.of(key).isDefined();
    }
}
