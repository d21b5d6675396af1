package org.rattanplank.core.claim;

import java.util.UUID;

import io.vavr.control.Option;
import io.vavr.control.Try;

/** Extracts the creation time of an idempotency key. Stateless and thread safe. */
final class KeyTimestamp {
    private static final int UUID_VERSION_WITH_TIMESTAMP = 7;
    private static final int TIMESTAMP_SHIFT_BITS = 16;
    private static final int UUID_CHARACTERS = 36;

    private KeyTimestamp() {}

    /** Returns the timestamp of a version 7 UUID in milliseconds, or none for any other key. */
    static Option<Long> of(String key) {
        if (key.length() != UUID_CHARACTERS) {
            return Option.none();
        }
        return Try.of(() -> UUID.fromString(key))
                .filter(uuid -> uuid.version() == UUID_VERSION_WITH_TIMESTAMP)
                .map(uuid -> uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS)
                .toOption();
    }
}
