package org.rattanplank.core.gateway;

/**
 * The time in which this host sends nothing to a target.
 *
 * <p>Invariants: the end of a pause never moves back, so that a later answer with a shorter time, or none, shortens nothing;
 * after a pause that the target has requested it is on trial until it has answered a request. Confined to its owner's thread.
 */
final class TargetPause {
    private long untilMillis;
    private long requestedUntilMillis;
    private boolean onTrial;

    /** Starts a pause of this host's own choice. */
    void start(long millis, long nowMillis) {
        untilMillis = Math.max(untilMillis, nowMillis + millis);
    }

    /** Starts or extends a pause that the target has requested, and returns whether it had requested none before. */
    boolean request(long millis, long nowMillis) {
        boolean isNew = requestedMillis(nowMillis) == 0;
        requestedUntilMillis = Math.max(requestedUntilMillis, nowMillis + millis);
        onTrial = true;
        start(millis, nowMillis);
        return isNew;
    }

    boolean isActive(long nowMillis) {
        return nowMillis < untilMillis;
    }

    /** Returns how much longer a pause lasts that the target has requested. */
    long requestedMillis(long nowMillis) {
        return Math.max(0, requestedUntilMillis - nowMillis);
    }

    /** Returns whether the target has answered nothing since a pause that it had requested. */
    boolean isOnTrial() {
        return onTrial;
    }

    /** Records that the target has answered a request; one that was sent before the pause doesn't end the trial. */
    void recordAnswer(long nowMillis) {
        onTrial &= requestedMillis(nowMillis) > 0;
    }
}
