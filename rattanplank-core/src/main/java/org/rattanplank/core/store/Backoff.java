package org.rattanplank.core.store;

import java.util.random.RandomGenerator;

/**
 * How long to wait before the next call to the store: a steady interval with jitter while calls succeed, and after
 * failures a random wait under a bound that doubles.
 *
 * <p>Without the jitter, hosts that failed together would all call again together: the store's calls a second would
 * show spikes of the whole fleet. Immutable and thread safe.
 *
 * @param intervalMillis the interval while calls succeed
 * @param firstMillis the bound of the wait after the first failure
 * @param maxMillis the highest bound
 * @param failures failures in a row
 */
public record Backoff(long intervalMillis, long firstMillis, long maxMillis, int failures) {
    private static final int MAX_DOUBLINGS = 20;

    /**
     * Makes a backoff without failures.
     *
     * @param intervalMillis the interval while calls succeed
     * @param firstMillis the bound of the wait after the first failure
     * @param maxMillis the highest bound
     * @return the backoff
     */
    public static Backoff of(long intervalMillis, long firstMillis, long maxMillis) {
        return new Backoff(intervalMillis, firstMillis, maxMillis, 0);
    }

    /**
     * Draws the wait before the next call.
     *
     * @param random the source of jitter
     * @return the wait in milliseconds, at least one
     */
    public long delayMillis(RandomGenerator random) {
        if (failures == 0) {
            return intervalMillis * 4 / 5 + random.nextLong(Math.max(1, intervalMillis * 2 / 5));
        }
        long bound = Math.min(maxMillis, firstMillis << Math.min(MAX_DOUBLINGS, failures - 1));
        return bound / 4 + 1 + random.nextLong(bound * 3 / 4 + 1);
    }

    /**
     * Takes note of a failure.
     *
     * @return the backoff with one failure more
     */
    public Backoff failed() {
        return new Backoff(intervalMillis, firstMillis, maxMillis, failures + 1);
    }

    /**
     * Takes note of a success.
     *
     * @return the backoff without failures
     */
    public Backoff succeeded() {
        return of(intervalMillis, firstMillis, maxMillis);
    }
}
