package org.rattanplank.bench.process;

import java.util.function.BooleanSupplier;

/** Waits for conditions with a time limit. Stateless and thread safe. */
public final class Poll {
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private Poll() {}

    /**
     * Waits until a condition holds; throws an IllegalStateException if it does not hold in time.
     *
     * @param description the description of the condition for the error message
     * @param timeoutMillis the longest wait
     * @param condition the condition
     */
    public static void until(String description, long timeoutMillis, BooleanSupplier condition) {
        long startNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - startNanos > timeoutMillis * NANOS_PER_MILLI) {
                throw new IllegalStateException("condition not met within " + timeoutMillis + " ms: " + description);
            }
            pause(POLL_INTERVAL_MILLIS);
        }
    }

    /**
     * Sleeps for the duration of a fault. Not a substitute for waiting for a condition.
     *
     * @param millis the duration
     */
    public static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
