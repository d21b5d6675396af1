package org.rattanplank.gateway;

import java.util.concurrent.TimeUnit;

/** A monotonic clock in milliseconds, independent of the time of day. Thread safe. */
public interface MonotonicClock {
    /**
     * Returns the current time.
     *
     * @return milliseconds since an arbitrary fixed moment
     */
    long nowMillis();

    /**
     * Returns the clock of this process, which adjustments of the time of day do not affect.
     *
     * @return the clock
     */
    static MonotonicClock ofProcess() {
        return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
