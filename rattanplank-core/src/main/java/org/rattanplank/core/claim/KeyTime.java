package org.rattanplank.core.claim;

import java.util.UUID;

import io.vavr.control.Option;
import io.vavr.control.Try;

/** Reads when an idempotency key was made. Stateless and thread safe. */
final class KeyTime {
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int TIME_SHIFT_BITS = 16;
    private static final int UUID_CHARACTERS = 36;

    private KeyTime() {}

    /** The time in milliseconds that a version 7 UUID carries; none for any other key. */
    static Option<Long> of(String key) {
        if (key.length() != UUID_CHARACTERS) {
            return Option.none();
        }
        return Try.of(() -> UUID.fromString(key))
                .filter(uuid -> uuid.version() == TIME_ORDERED_VERSION)
                .map(uuid -> uuid.getMostSignificantBits() >>> TIME_SHIFT_BITS)
                .toOption();
    }
}
