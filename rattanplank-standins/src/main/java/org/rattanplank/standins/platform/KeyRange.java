package org.rattanplank.standins.platform;

import java.util.Objects;

/**
 * A range of keys in the form that the store's calls use. Immutable and thread safe.
 *
 * @param key the first key
 * @param end the first key after the range; empty for one key only, {@code "\0"} for all keys from the first
 */
record KeyRange(String key, String end) {
    private static final String UNBOUNDED_END = "\0";

    KeyRange {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(end, "end");
    }

    static KeyRange of(String key) {
        return new KeyRange(key, "");
    }

    boolean contains(String candidate) {
        if (end.isEmpty()) {
            return candidate.equals(key);
        }
        return candidate.compareTo(key) >= 0 && (end.equals(UNBOUNDED_END) || candidate.compareTo(end) < 0);
    }
}
