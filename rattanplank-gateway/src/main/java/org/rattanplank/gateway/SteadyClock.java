package org.rattanplank.gateway;

import java.util.concurrent.TimeUnit;

/** A monotonic clock in milliseconds, independent of the time of day. Thread safe. */
public interface SteadyClock {
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
    static SteadyClock ofProcess() {
        return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
