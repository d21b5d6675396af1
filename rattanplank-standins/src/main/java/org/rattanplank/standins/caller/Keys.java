package org.rattanplank.standins.caller;

import java.util.Random;
import java.util.UUID;

/** Makes idempotency keys as callers do that cannot ask the system for one. Stateless and thread safe. */
public final class Keys {
    private static final int TIME_SHIFT = 16;
    private static final long VERSION_7 = 0x7000;
    private static final long LOW_12_BITS = 0xfff;
    private static final long VARIANT = 0x8000000000000000L;
    private static final long WITHOUT_VARIANT = 0x3fffffffffffffffL;

    private Keys() {}

    /**
     * Makes a version 7 UUID.
     *
     * @param nowMillis the time that it carries
     * @param random the source of its other bits
     * @return the key
     */
    public static String version7(long nowMillis, Random random) {
        long high = nowMillis << TIME_SHIFT | VERSION_7 | random.nextLong() & LOW_12_BITS;
        long low = VARIANT | random.nextLong() & WITHOUT_VARIANT;
        return new UUID(high, low).toString();
    }
}
