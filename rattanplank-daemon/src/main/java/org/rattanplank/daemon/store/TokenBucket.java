package org.rattanplank.daemon.store;

/**
 * Limits the rate of calls with a token bucket that holds the calls of one second. Guarded by its own monitor, so
 * thread safe.
 *
 * <p>The platform limits the total rate of calls to the store; a host that retries without bound would use up the limit
 * for all others just when the store is slow.
 */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final long callsPerSecond;
    private double tokens;
    private long refilledAtMillis;

    TokenBucket(long callsPerSecond, long nowMillis) {
        this.callsPerSecond = callsPerSecond;
        tokens = callsPerSecond;
        refilledAtMillis = nowMillis;
    }

    synchronized boolean tryAcquire(long nowMillis) {
        double refill = (nowMillis - refilledAtMillis) * callsPerSecond / MILLIS_PER_SECOND;
        tokens = Math.min(callsPerSecond, tokens + refill);
        refilledAtMillis = nowMillis;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
