package org.rattanplank.gateway;

/**
 * Until when all that has come over any connection has surely been read.
 *
 * <p>Silence is counted to this moment and not to now. A process that got no time for two seconds runs what was due
 * meanwhile before it looks at its sockets again; counted to now, every other host and target would seem silent, links
 * would be dropped and requests given up whose answers wait to be read. Invariant: it never falls. Confined to the event
 * loop.
 */
final class ReadHorizon {
    private final long lateMillis;
    private long tickedAtMillis;
    private long millis;

    private ReadHorizon(long nowMillis, long lateMillis) {
        this.lateMillis = lateMillis;
        tickedAtMillis = nowMillis;
        millis = nowMillis;
    }

    /**
     * Makes a horizon.
     *
     * @param nowMillis the time
     * @param lateMillis a tick that comes so long after the one before may not have been preceded by a read
     * @return the horizon
     */
    static ReadHorizon of(long nowMillis, long lateMillis) {
        return new ReadHorizon(nowMillis, lateMillis);
    }

    /**
     * Takes note of a tick. Between two ticks the event loop reads, so what had come by the one before is read by now.
     *
     * @param nowMillis the time
     * @return the time since the tick before
     */
    long ticked(long nowMillis) {
        long sinceMillis = nowMillis - tickedAtMillis;
        millis = sinceMillis < lateMillis ? nowMillis : tickedAtMillis;
        tickedAtMillis = nowMillis;
        return sinceMillis;
    }

    long millis() {
        return millis;
    }
}
