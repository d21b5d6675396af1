package org.rattanplank.bench.process;

import java.util.function.BooleanSupplier;

/** Waits on conditions, with a bound. Stateless and thread safe. */
public final class Poll {
    private static final long EVERY_MILLIS = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private Poll() {}

    /**
     * Waits until a condition holds.
     *
     * @param what the condition in words, for the failure
     * @param boundMillis how long to wait at most
     * @param condition the condition
     */
    public static void until(String what, long boundMillis, BooleanSupplier condition) {
        long startNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - startNanos > boundMillis * NANOS_PER_MILLI) {
                throw new IllegalStateException("not within " + boundMillis + " ms: " + what);
            }
            pause(EVERY_MILLIS);
        }
    }

    /**
     * Lets time pass, as part of a fault that lasts; never as the proof of anything.
     *
     * @param millis how long
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
