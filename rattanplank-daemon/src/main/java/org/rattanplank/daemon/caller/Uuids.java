package org.rattanplank.daemon.caller;

import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/** Creates version 7 UUIDs, which contain their time of creation. Stateless and thread safe. */
final class Uuids {
    private static final int TIME_SHIFT = 16;
    private static final long VERSION = 0x7000L;
    private static final long RANDOM_A_MASK = 0x0FFFL;
    private static final long RANDOM_B_MASK = 0x3FFFFFFFFFFFFFFFL;
    private static final long VARIANT = 0x8000000000000000L;

    private Uuids() {}

    static String version7(long nowMillis) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        long high = (nowMillis << TIME_SHIFT) | VERSION | (random.nextLong() & RANDOM_A_MASK);
        long low = (random.nextLong() & RANDOM_B_MASK) | VARIANT;
        return new UUID(high, low).toString();
    }
}
