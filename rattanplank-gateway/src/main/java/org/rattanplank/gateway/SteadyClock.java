package org.rattanplank.gateway;

import java.util.concurrent.TimeUnit;

/** Milliseconds of a clock that never falls and knows nothing of the time of day. Thread safe. */
public interface SteadyClock {
    /**
     * Reads the clock.
     *
     * @return milliseconds since some fixed moment
     */
    long nowMillis();

    /**
     * The clock of this process, which a step of the time of day doesn't move.
     *
     * @return the clock
     */
    static SteadyClock ofProcess() {
        return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
