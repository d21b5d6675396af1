package org.rattanplank.daemon.peer;

/**
 * Detects a connection on which nothing is received any more. Not thread safe.
 *
 * <p>A connection can stop delivering data permanently while both ends hold it open; symptom: messages are lost until
 * the operating system's own timeout, hours later. Pings with a deadline prevent this.
 */
final class LivenessCheck {
    private final long checkIntervalMillis;
    private final long timeoutMillis;
    private long lastReceivedAtMillis;
    private long lastCheckedAtMillis;

    LivenessCheck(long checkIntervalMillis, long timeoutMillis, long nowMillis) {
        this.checkIntervalMillis = checkIntervalMillis;
        this.timeoutMillis = timeoutMillis;
        lastReceivedAtMillis = nowMillis;
        lastCheckedAtMillis = nowMillis;
    }

    void recordReceived(long nowMillis) {
        lastReceivedAtMillis = nowMillis;
    }

    /**
     * Returns whether nothing was received within the timeout; called once per interval.
     *
     * <p>After a pause of the process, the check runs late and the data received meanwhile is still unread, so healthy
     * connections would be closed. A late check therefore restarts the timeout.
     */
    boolean isUnresponsive(long nowMillis) {
        boolean late = nowMillis - lastCheckedAtMillis > 2 * checkIntervalMillis + timeoutMillis;
        lastCheckedAtMillis = nowMillis;
        if (late) {
            lastReceivedAtMillis = nowMillis;
        }
        return nowMillis - lastReceivedAtMillis > timeoutMillis;
    }
}
