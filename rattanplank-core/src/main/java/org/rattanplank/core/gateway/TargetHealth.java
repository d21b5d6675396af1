package org.rattanplank.core.gateway;

/**
 * Ejects a target because of this host's own failed attempts there, and restores it.
 *
 * <p>Invariant: an ejected target gets no requests; after that, one at a time until enough of them have succeeded. The
 * ejection time doubles with each ejection in a row, up to a bound. Confined to its owner's thread.
 */
final class TargetHealth {
    /**
     * Connections in a row that were refused or not answered: such a target runs nothing, and each attempt costs its
     * caller a time-out.
     */
    static final int MAX_CONSECUTIVE_UNREACHABLE = 1;

    /**
     * Failed answers in a row. Plain services fail one request in seven by themselves, so that four in a row are rare.
     */
    static final int MAX_CONSECUTIVE_FAILURES = 4;

    /**
     * A crashed target is back after some seconds under another identifier; after a second the end of a short partition
     * is noticed soon.
     */
    static final long BASE_EJECTION_MILLIS = 1_000;

    /** A lasting fault costs one trial request per ejection. */
    static final long MAX_EJECTION_MILLIS = 4_000;

    private static final int SUCCESSES_TO_RESTORE = 2;

    private int consecutiveUnreachable;
    private int consecutiveFailures;
    private int ejections;
    private int successes;
    private long ejectedUntilMillis;
    private boolean ejectedAsUnreachable;

    boolean isHealthy(int ownRequests, long nowMillis) {
        return nowMillis >= ejectedUntilMillis && (ejections == 0 || ownRequests == 0);
    }

    /** Whether it may be used when too few others remain: it answers, though with failures. */
    boolean isReachable(long nowMillis) {
        return nowMillis >= ejectedUntilMillis || !ejectedAsUnreachable;
    }

    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        consecutiveUnreachable = 0;
        if (ejections > 0 && ++successes >= SUCCESSES_TO_RESTORE) {
            ejections = 0;
        }
    }

    void recordUnreachable(long nowMillis) {
        consecutiveUnreachable++;
        if (consecutiveUnreachable >= MAX_CONSECUTIVE_UNREACHABLE || ejections > 0) {
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
        consecutiveUnreachable = 0;
    }
}
