package org.rattanplank.gateway;

/**
 * The time up to which all data that arrived on any connection has been read.
 *
 * <p>Timeouts of idle connections are measured up to this time instead of the current time. A process that was paused
 * for two seconds runs its due timers before it reads its sockets; measured up to the current time, every other host
 * and target would seem unresponsive, links would be closed and requests abandoned although their responses are ready
 * to be read. Invariant: it never decreases. Confined to the event loop.
 */
final class ReadWatermark {
    private final long lateTickMillis;
    private long lastTickMillis;
    private long millis;

    private ReadWatermark(long nowMillis, long lateTickMillis) {
        this.lateTickMillis = lateTickMillis;
        lastTickMillis = nowMillis;
        millis = nowMillis;
    }

    /**
     * Creates a watermark.
     *
     * @param nowMillis the time
     * @param lateTickMillis a tick this long after the previous one may not have been preceded by a read
     * @return the watermark
     */
    static ReadWatermark of(long nowMillis, long lateTickMillis) {
        return new ReadWatermark(nowMillis, lateTickMillis);
    }

    /**
     * Records a tick. The event loop reads its sockets between two ticks, so data that arrived by the previous tick has
     * been read.
     *
     * @param nowMillis the time
     * @return the time since the previous tick
     */
    long recordTick(long nowMillis) {
        long sinceMillis = nowMillis - lastTickMillis;
        millis = sinceMillis < lateTickMillis ? nowMillis : lastTickMillis;
        lastTickMillis = nowMillis;
        return sinceMillis;
    }

    long millis() {
        return millis;
    }
}
