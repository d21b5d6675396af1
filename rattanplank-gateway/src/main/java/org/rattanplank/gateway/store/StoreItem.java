package org.rattanplank.gateway.store;

import java.util.Objects;

/**
 * A key of the store with its value. Immutable by convention: the value must not be modified.
 *
 * @param key the key
 * @param value the value; empty if the key was removed
 * @param revision the store's revision of the key's last change
 * @param removed whether the key was removed
 */
public record StoreItem(String key, byte[] value, long revision, boolean removed) {
    public StoreItem {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
