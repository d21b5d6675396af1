package org.rattanplank.core.store;

import java.util.random.RandomGenerator;

/**
 * The delay before the next call to the store: a fixed interval with jitter while calls succeed, and exponential
 * backoff with jitter after failures.
 *
 * <p>Without jitter, hosts that failed together would retry together; symptom: spikes of the whole fleet in the store's
 * calls per second. Immutable and thread safe.
 *
 * @param intervalMillis the interval while calls succeed
 * @param initialMillis the maximum delay after the first failure
 * @param maxMillis the maximum delay after any number of failures
 * @param failures the number of consecutive failures
 */
public record Backoff(long intervalMillis, long initialMillis, long maxMillis, int failures) {
    private static final int MAX_DOUBLINGS = 20;

    /**
     * Creates a backoff without failures.
     *
     * @param intervalMillis the interval while calls succeed
     * @param firstMillis the maximum delay after the first failure
     * @param maxMillis the maximum delay after any number of failures
     * @return the backoff
     */
    public static Backoff of(long intervalMillis, long firstMillis, long maxMillis) {
        return new Backoff(intervalMillis, firstMillis, maxMillis, 0);
    }

    /**
     * Returns a random delay before the next call.
     *
     * @param random the source of jitter
     * @return the delay in milliseconds, at least one
     */
    public long delayMillis(RandomGenerator random) {
        if (failures == 0) {
            return intervalMillis * 4 / 5 + random.nextLong(Math.max(1, intervalMillis * 2 / 5));
        }
        long maxDelayMillis = Math.min(maxMillis, initialMillis << Math.min(MAX_DOUBLINGS, failures - 1));
        return maxDelayMillis / 4 + 1 + random.nextLong(maxDelayMillis * 3 / 4 + 1);
    }

    /**
     * Returns the backoff after another failure.
     *
     * @return the backoff with one more failure
     */
    public Backoff failed() {
        return new Backoff(intervalMillis, initialMillis, maxMillis, failures + 1);
    }

    /**
     * Returns the backoff after a success.
     *
     * @return the backoff without failures
     */
    public Backoff succeeded() {
        return of(intervalMillis, initialMillis, maxMillis);
    }
}
