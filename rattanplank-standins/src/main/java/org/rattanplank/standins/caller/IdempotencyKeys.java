package org.rattanplank.standins.caller;

import java.util.Random;
import java.util.UUID;

/** Generates idempotency keys as callers do that can't request one from the system. Stateless and thread safe. */
public final class IdempotencyKeys {
    private static final int TIMESTAMP_SHIFT_BITS = 16;
    private static final long VERSION_7_BITS = 0x7000;
    private static final long LOW_12_BITS_MASK = 0xfff;
    private static final long VARIANT_BITS = 0x8000000000000000L;
    private static final long LOW_62_BITS_MASK = 0x3fffffffffffffffL;

    private IdempotencyKeys() {}

    /**
     * Returns a new UUID of version 7.
     *
     * @param nowMillis the timestamp of the UUID, in milliseconds since the epoch
     * @param random the source of the other bits
     * @return the key
     */
    public static String version7(long nowMillis, Random random) {
        long high = nowMillis << TIMESTAMP_SHIFT_BITS | VERSION_7_BITS | random.nextLong() & LOW_12_BITS_MASK;
        long low = VARIANT_BITS | random.nextLong() & LOW_62_BITS_MASK;
        return new UUID(high, low).toString();
    }
}
