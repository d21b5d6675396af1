package org.rattanplank.daemon.peer;

/**
 * Notices that a connection brings nothing any more. Not thread safe.
 *
 * <p>A connection can go silent for good while both ends hold it open. One would notice messages that vanish until the
 * system's own timeout, hours later. Pings with a deadline prevent it.
 */
final class Silence {
    private final long intervalMillis;
    private final long timeoutMillis;
    private long heardAtMillis;
    private long checkedAtMillis;

    Silence(long intervalMillis, long timeoutMillis, long nowMillis) {
        this.intervalMillis = intervalMillis;
        this.timeoutMillis = timeoutMillis;
        heardAtMillis = nowMillis;
        checkedAtMillis = nowMillis;
    }

    void heard(long nowMillis) {
        heardAtMillis = nowMillis;
    }

    /**
     * Checks the connection; called once an interval.
     *
     * <p>A process that was paused finds its own checks late and what came meanwhile unread: it would close sound
     * connections. So a late check only counts the silence from now on.
     */
    boolean isSilent(long nowMillis) {
        boolean late = nowMillis - checkedAtMillis > 2 * intervalMillis + timeoutMillis;
        checkedAtMillis = nowMillis;
        if (late) {
            heardAtMillis = nowMillis;
        }
        return nowMillis - heardAtMillis > timeoutMillis;
    }
}
