package org.rattanplank.core.gateway;

/**
 * Paces the watches of the store, so that a series of changes costs few calls.
 *
 * <p>Invariants: a change after a quiet time is observed at once; in a lasting series one is observed at most
 * {@link #MAX_PAUSE_MILLIS} late. Confined to its owner's thread.
 */
public final class WatchPacer {
    /** The pause after the first change of a series; changes often come in groups. */
    static final long MIN_PAUSE_MILLIS = 150;

    /** A fifth of the shortest time within which a change must be in force. */
    static final long MAX_PAUSE_MILLIS = 600;

    /** A watch that waited this long for a change ends a series. */
    private static final long QUIET_MILLIS = 1_000;

    private long pauseMillis = MIN_PAUSE_MILLIS;

    /**
     * Records a watch that returned changes, and returns the pause before the next one.
     *
     * @param waitedMillis how long the watch waited for the changes
     * @return milliseconds
     */
    public long pauseAfterChanges(long waitedMillis) {
        pauseMillis = waitedMillis >= QUIET_MILLIS ? MIN_PAUSE_MILLIS : Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
        return pauseMillis;
    }
}
