package org.rattanplank.daemon.runtime;

import java.util.concurrent.TimeUnit;

/**
 * The time in milliseconds since the epoch, as the core sees it. Immutable and thread safe.
 *
 * <p>Invariant: it never falls. It takes the wall clock once, at the start, and counts on by the monotonic clock, so
 * that a step of the wall clock moves no deadline.
 */
public final class MillisClock {
    private final long startMillis;
    private final long startNanos;

    private MillisClock(long startMillis, long startNanos) {
        this.startMillis = startMillis;
        this.startNanos = startNanos;
    }

    /**
     * Makes a clock that starts at the wall clock's time.
     *
     * @return the clock
     */
    public static MillisClock ofWallClock() {
        return new MillisClock(System.currentTimeMillis(), System.nanoTime());
    }

    /**
     * Reads the clock.
     *
     * @return the time
     */
    public long nowMillis() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /**
     * The time at which the clock was made.
     *
     * @return the process's start time
     */
    public long startMillis() {
        return startMillis;
    }
}
