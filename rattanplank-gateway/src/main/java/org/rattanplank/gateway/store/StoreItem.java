package org.rattanplank.gateway.store;

import java.util.Objects;

/**
 * A key of the store with its value. Immutable by convention: nobody writes into the value.
 *
 * @param key the key
 * @param value the value; empty if the key was removed
 * @param revision the store's revision at which it changed last
 * @param removed whether the key was removed
 */
public record StoreItem(String key, byte[] value, long revision, boolean removed) {
    public StoreItem {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
