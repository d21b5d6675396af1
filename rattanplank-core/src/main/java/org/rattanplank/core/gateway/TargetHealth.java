package org.rattanplank.core.gateway;

/**
 * Whether a target is left out because of what this host's own attempts met there, and how it is let back.
 *
 * <p>Invariant: while a target is left out it gets nothing; after that, one request at a time until enough of them have
 * succeeded. The time out doubles with each one in a row, up to a bound. Confined to its owner's thread.
 */
final class TargetHealth {
    /** Connections refused or silent in a row: such a target runs nothing, and each costs its caller a time-out. */
    static final int MAX_CONSECUTIVE_UNREACHABLE = 1;

    /** Failed answers in a row. Plain services fail one request in seven by themselves; four in a row are rare then. */
    static final int MAX_CONSECUTIVE_FAILURES = 4;

    /** A crashed target is back after some seconds under another identifier; a second finds a short cut's end soon. */
    static final long BASE_EJECTION_MILLIS = 1_000;

    /** A lasting fault costs one trial in so long. */
    static final long MAX_EJECTION_MILLIS = 4_000;

    private static final int SUCCESSES_TO_RESTORE = 2;

    private int recordUnreachable;
    private int consecutiveFailures;
    private int ejections;
    private int successes;
    private long ejectedUntilMillis;
    private boolean ejectedAsUnreachable;

    boolean isHealthy(int own, long nowMillis) {
        return nowMillis >= ejectedUntilMillis && (ejections == 0 || own == 0);
    }

    /** Whether it may be asked when too few others are left: it answers, though with failures. */
    boolean isReachable(long nowMillis) {
        return nowMillis >= ejectedUntilMillis || !ejectedAsUnreachable;
    }

    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        recordUnreachable = 0;
        if (ejections > 0 && ++successes >= SUCCESSES_TO_RESTORE) {
            ejections = 0;
        }
    }

    void recordUnreachable(long nowMillis) {
        recordUnreachable++;
        if (recordUnreachable >= MAX_CONSECUTIVE_UNREACHABLE || ejections > 0) {
            eject(true, nowMillis);
        }
    }

    void recordFailure(long nowMillis) {
        consecutiveFailures++;
        if (consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || ejections > 0) {
            eject(false, nowMillis);
        }
    }

    private void eject(boolean asUnreachable, long nowMillis) {
        if (isEjected(nowMillis)) {
            return;
        }
        ejectedUntilMillis = nowMillis + Math.min(MAX_EJECTION_MILLIS, BASE_EJECTION_MILLIS << Math.min(ejections, 10));
        ejectedAsUnreachable = asUnreachable;
        ejections++;
        successes = 0;
        consecutiveFailures = 0;
        recordUnreachable = 0;
    }
}
