package org.rattanplank.daemon.store;

/**
 * Bounds the rate of calls: a bucket that holds one second's calls. Thread safe by its own monitor.
 *
 * <p>The platform counts each call and lets only so many through; a host that repeats its calls without bound would take
 * the store from all others just when it is slow.
 */
final class RateBudget {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final long callsPerSecond;
    private double tokens;
    private long filledAtMillis;

    RateBudget(long callsPerSecond, long nowMillis) {
        this.callsPerSecond = callsPerSecond;
        tokens = callsPerSecond;
        filledAtMillis = nowMillis;
    }

    synchronized boolean take(long nowMillis) {
        double gained = (nowMillis - filledAtMillis) * callsPerSecond / MILLIS_PER_SECOND;
        tokens = Math.min(callsPerSecond, tokens + gained);
        filledAtMillis = nowMillis;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
