package org.rattanplank.core.gateway;

/**
 * This host's part of the rate of requests that a target takes from all hosts together.
 *
 * <p>One host of the region, assigned by rendezvous hashing, uses most of the rate. Each other host sends a request now
 * and then, which tells it whether the limit still holds, so that no message between hosts is needed.
 *
 * <p>Invariant: over any span, the assigned host sends at most its fraction of the rate and one burst, and all other
 * hosts together, on average, at most the rest; that holds for a named rate of zero with the minimum rate. Confined to
 * its owner's thread.
 */
final class TargetRateLimit {
    /**
     * The fraction of the rate that the assigned host uses. While the views of hosts differ, two may take themselves for
     * it, and must not exceed the rate by much.
     */
    private static final double ASSIGNED_FRACTION = 0.65;

    /** The fraction of the rate that the checks of all other hosts use together. */
    private static final double CHECKS_FRACTION = 0.2;

    /** The minimum rate of all hosts together: a target that gets nothing can't tell that its limit has ended. */
    private static final double MIN_PER_SECOND = 0.25;

    /** The time for which an unused part of the rate is kept. */
    private static final double BURST_SECONDS = 0.25;

    private static final double MIN_BURST = 1;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The first check follows after this fraction of its mean interval; where between, differs by host. */
    private static final double MIN_CHECK_FRACTION = 0.5;

    private boolean active;
    private double perSecond;
    private double tokens;
    private long tokensAtMillis;
    private long toldAtMillis;

    /**
     * Records the rate that an answer has named.
     *
     * @return whether it is a new one
     */
    boolean named(double newPerSecond, long nowMillis) {
        boolean changed = !active || newPerSecond != perSecond;
        if (!active) {
            tokens = 0;
            tokensAtMillis = nowMillis;
        }
        refill(nowMillis);
        active = true;
        perSecond = newPerSecond;
        toldAtMillis = nowMillis;
        return changed;
    }

    /**
     * Records that an answer has named no rate.
     *
     * @return whether there was one before
     */
    boolean ended() {
        boolean changed = active;
        active = false;
        return changed;
    }

    boolean isActive() {
        return active;
    }

    /**
     * Returns whether this host may send a request now.
     *
     * @param assigned whether this host is the one that uses the rate
     * @param hosts the number of hosts of the region
     * @param phase a number from 0 to 1 that differs by host, so that hosts don't check at the same time
     * @param nowMillis the time
     * @return whether it may
     */
    boolean maySend(boolean assigned, int hosts, double phase, long nowMillis) {
        if (!active) {
            return true;
        }
        refill(nowMillis);
        if (assigned && tokens >= 1) {
            return true;
        }
        double checkIntervalMillis = MILLIS_PER_SECOND * hosts / (CHECKS_FRACTION * effectivePerSecond());
        return nowMillis - toldAtMillis >= (MIN_CHECK_FRACTION + phase) * checkIntervalMillis;
    }

    /** Records a request that is sent. */
    void recordSend(long nowMillis) {
        if (active) {
            refill(nowMillis);
            tokens = Math.max(0, tokens - 1);
            toldAtMillis = nowMillis;
        }
    }

    private void refill(long nowMillis) {
        double rate = ASSIGNED_FRACTION * effectivePerSecond();
        double burst = Math.max(MIN_BURST, BURST_SECONDS * rate);
        tokens = Math.min(burst, tokens + rate * (nowMillis - tokensAtMillis) / MILLIS_PER_SECOND);
        tokensAtMillis = nowMillis;
    }

    private double effectivePerSecond() {
        return Math.max(MIN_PER_SECOND, perSecond);
    }
}
