package org.rattanplank.daemon.runtime;

import java.util.concurrent.TimeUnit;

/**
 * Clock of the core, in milliseconds since the epoch. Immutable and thread safe.
 *
 * <p>Invariant: the time never decreases. The wall clock is read once at creation, and the monotonic clock advances the
 * time from there, so that an adjustment of the wall clock does not shift deadlines.
 */
public final class MillisClock {
    private final long startMillis;
    private final long startNanos;

    private MillisClock(long startMillis, long startNanos) {
        this.startMillis = startMillis;
        this.startNanos = startNanos;
    }

    /**
     * Creates a clock that starts at the current wall clock time.
     *
     * @return the clock
     */
    public static MillisClock ofWallClock() {
        return new MillisClock(System.currentTimeMillis(), System.nanoTime());
    }

    /**
     * Returns the current time.
     *
     * @return the time in milliseconds since the epoch
     */
    public long nowMillis() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /**
     * Returns the time at which the clock was created.
     *
     * @return the time in milliseconds since the epoch
     */
    public long startMillis() {
        return startMillis;
    }
}
