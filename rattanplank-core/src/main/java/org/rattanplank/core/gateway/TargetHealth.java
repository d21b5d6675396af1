package org.rattanplank.core.gateway;

/**
 * Whether a target is left out because of what this host's own attempts met there, and how it is let back.
 *
 * <p>Invariant: while a target is left out it gets nothing; after that, one request at a time until enough of them have
 * succeeded. The time out doubles with each one in a row, up to a bound. Confined to its owner's thread.
 */
final class TargetHealth {
    /** Connections refused or silent in a row: such a target runs nothing, and each costs its caller a time-out. */
    static final int UNREACHABLE_IN_A_ROW = 1;

    /** Failed answers in a row. Plain services fail one request in seven by themselves; four in a row are rare then. */
    static final int FAILURES_IN_A_ROW = 4;

    /** A crashed target is back after some seconds under another identifier; a second finds a short cut's end soon. */
    static final long FIRST_OUT_MILLIS = 1_000;

    /** A lasting fault costs one trial in so long. */
    static final long LONGEST_OUT_MILLIS = 4_000;

    private static final int SUCCESSES_TO_RETURN = 2;

    private int unreachable;
    private int failures;
    private int timesOut;
    private int successes;
    private long outUntilMillis;
    private boolean outAsUnreachable;

    boolean allows(int own, long nowMillis) {
        return nowMillis >= outUntilMillis && (timesOut == 0 || own == 0);
    }

    /** Whether it may be asked when too few others are left: it answers, though with failures. */
    boolean answers(long nowMillis) {
        return nowMillis >= outUntilMillis || !outAsUnreachable;
    }

    boolean isOut(long nowMillis) {
        return nowMillis < outUntilMillis;
    }

    void succeeded() {
        failures = 0;
        unreachable = 0;
        if (timesOut > 0 && ++successes >= SUCCESSES_TO_RETURN) {
            timesOut = 0;
        }
    }

    void unreachable(long nowMillis) {
        unreachable++;
        if (unreachable >= UNREACHABLE_IN_A_ROW || timesOut > 0) {
            leaveOut(true, nowMillis);
        }
    }

    void failed(long nowMillis) {
        failures++;
        if (failures >= FAILURES_IN_A_ROW || timesOut > 0) {
            leaveOut(false, nowMillis);
        }
    }

    private void leaveOut(boolean asUnreachable, long nowMillis) {
        if (isOut(nowMillis)) {
            return;
        }
        outUntilMillis = nowMillis + Math.min(LONGEST_OUT_MILLIS, FIRST_OUT_MILLIS << Math.min(timesOut, 10));
        outAsUnreachable = asUnreachable;
        timesOut++;
        successes = 0;
        failures = 0;
        unreachable = 0;
    }
}
