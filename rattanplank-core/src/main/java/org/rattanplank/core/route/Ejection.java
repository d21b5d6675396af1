package org.rattanplank.core.route;

/**
 * Outlier ejection of one target or region: excludes it for a while when it fails or is slow, and readmits it
 * gradually.
 *
 * <p>Invariant: after an ejection the peer first gets one request at a time, and one more for each that succeeds, until
 * it has fully recovered. The ejection time doubles with each consecutive ejection, up to a bound. Guarded by the
 * router's lock.
 */
final class Ejection {
    /** Consecutive failures after which a peer is ejected. */
    static final int MAX_CONSECUTIVE_FAILURES = 3;

    private static final long MIN_EJECTION_MILLIS = 1_000;
    private static final long MAX_EJECTION_MILLIS = 8_000;
    private static final int SUCCESSES_TO_RECOVER = 4;
    private static final double SLOW_RATIO = 3;
    private static final int MIN_SLOW_SAMPLES = 6;
    private static final double SMOOTHING_FACTOR = 0.2;

    private int consecutiveFailures;
    private int consecutiveEjections;
    private int successesSinceEjection;
    private long ejectedUntilMillis;
    private long pausedUntilMillis;
    private double meanSlowness = 1;
    private int samples;

    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Returns whether one more request may be sent while this host has the given number in flight there. */
    boolean allowsRequest(int ownInFlight, long nowMillis) {
        if (isEjected(nowMillis) || pauseMillis(nowMillis) > 0) {
            return false;
        }
        return consecutiveEjections == 0 || ownInFlight <= successesSinceEjection;
    }

    /** Sends nothing to the peer until the given time, because it requested a pause without failing; never shortens one. */
    void pauseUntil(long untilMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, untilMillis);
    }

    /** Returns how much longer the pause that the peer requested lasts. */
    long pauseMillis(long nowMillis) {
        return Math.max(0, pausedUntilMillis - nowMillis);
    }

    /** Records a success; the ratio is the measured over the expected time, relative to the mean of the service. */
    void recordSuccess(double ratio) {
        consecutiveFailures = 0;
        meanSlowness += SMOOTHING_FACTOR * (ratio - meanSlowness);
        samples++;
        if (consecutiveEjections > 0 && ++successesSinceEjection >= SUCCESSES_TO_RECOVER) {
            consecutiveEjections = 0;
        }
    }

    /** Records a failure, and returns whether the peer should be ejected now. */
    boolean recordFailure(long nowMillis) {
        consecutiveFailures++;
        return !isEjected(nowMillis) && (consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || consecutiveEjections > 0);
    }

    boolean isSlow() {
        return samples >= MIN_SLOW_SAMPLES && meanSlowness > SLOW_RATIO;
    }

    void eject(long nowMillis) {
        ejectedUntilMillis =
                nowMillis + Math.min(MAX_EJECTION_MILLIS, MIN_EJECTION_MILLIS << Math.min(consecutiveEjections, 10));
        consecutiveEjections++;
        successesSinceEjection = 0;
        consecutiveFailures = 0;
        meanSlowness = 1;
        samples = 0;
    }

    /** Ends the ejection early, because too many other peers are ejected. */
    void readmit() {
        ejectedUntilMillis = 0;
    }
}
