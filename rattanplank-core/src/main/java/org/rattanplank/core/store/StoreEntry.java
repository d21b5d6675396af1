package org.rattanplank.core.store;

import java.util.Objects;

/**
 * One key of the platform's store with its value. Immutable and thread safe.
 *
 * @param key the key
 * @param value the value
 * @param modRevision the store revision at which the value was written
 */
public record StoreEntry(String key, String value, long modRevision) {
    public StoreEntry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
