package org.rattanplank.core.route;

/**
 * Whether a target or region is left out for a while because it fails or is slow, and how it is let back.
 *
 * <p>Invariant: after each time out it gets one request at a time first, and one more for each that succeeds, until it
 * is fully back. The time out doubles with each one in a row, up to a bound. Confined to the router's lock.
 */
final class Ejection {
    /** Failures in a row after which a peer is left out. */
    static final int FAILURES = 3;

    private static final long FIRST_OUT_MILLIS = 1_000;
    private static final long LONGEST_OUT_MILLIS = 8_000;
    private static final int SUCCESSES_TO_RETURN = 4;
    private static final double SLOW_RATIO = 3;
    private static final int SLOW_SAMPLES = 6;
    private static final double SMOOTHING = 0.2;

    private int failures;
    private int timesOut;
    private int successes;
    private long outUntilMillis;
    private long busyUntilMillis;
    private double slowness = 1;
    private int samples;

    boolean isOut(long nowMillis) {
        return nowMillis < outUntilMillis;
    }

    int failures() {
        return failures;
    }

    /** Whether one more request may go there while this host has so many there. */
    boolean allows(int own, long nowMillis) {
        if (nowMillis < outUntilMillis || nowMillis < busyUntilMillis) {
            return false;
        }
        return timesOut == 0 || own <= successes;
    }

    /** Takes note that the peer asked for a pause without failing. */
    void busy(long untilMillis) {
        busyUntilMillis = untilMillis;
    }

    /** Takes note of a success; the ratio is the time taken over the time expected, relative to the peer's service. */
    void succeeded(double ratio) {
        failures = 0;
        slowness += SMOOTHING * (ratio - slowness);
        samples++;
        if (timesOut > 0 && ++successes >= SUCCESSES_TO_RETURN) {
            timesOut = 0;
        }
    }

    /** Takes note of a failure, and tells whether the peer should be left out now. */
    boolean failed(long nowMillis) {
        failures++;
        return !isOut(nowMillis) && (failures >= FAILURES || timesOut > 0);
    }

    boolean isSlow() {
        return samples >= SLOW_SAMPLES && slowness > SLOW_RATIO;
    }

    void eject(long nowMillis) {
        outUntilMillis = nowMillis + Math.min(LONGEST_OUT_MILLIS, FIRST_OUT_MILLIS << Math.min(timesOut, 10));
        timesOut++;
        successes = 0;
        failures = 0;
        slowness = 1;
        samples = 0;
    }

    /** Lets the peer back before its time, because too many others are out. */
    void readmit() {
        outUntilMillis = 0;
    }
}
