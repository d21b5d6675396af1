package org.rattanplank.core.gateway;

/**
 * Statistics of the streams of an engine, from one host or from all of them. Immutable and thread safe.
 *
 * @param streams the number of streams
 * @param totalMillis the time between two events of a stream, summed over the streams
 * @param behind the streams that would end too late at this inter-token latency and could still end in time at a better
 *     one
 */
public record StreamPace(int streams, double totalMillis, int behind) {
    /** No stream is known. */
    public static final StreamPace NONE = new StreamPace(0, 0, 0);

    /**
     * Returns whether an inter-token latency is known.
     *
     * @return whether any stream is known
     */
    public boolean isKnown() {
        return streams > 0;
    }

    /**
     * Returns the mean time between two events of a stream.
     *
     * @return milliseconds, zero if it isn't known
     */
    public double millis() {
        return isKnown() ? totalMillis / streams : 0;
    }

    StreamPace plus(StreamPace other) {
        return new StreamPace(streams + other.streams, totalMillis + other.totalMillis, behind + other.behind);
    }
}
