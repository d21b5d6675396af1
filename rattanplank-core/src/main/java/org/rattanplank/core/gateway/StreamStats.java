package org.rattanplank.core.gateway;

/**
 * Statistics of the streams of an engine, from one host or from all of them. Immutable and thread safe.
 *
 * @param streams the number of streams
 * @param totalInterTokenMillis the time between two events of a stream, summed over the streams
 * @param lagging the streams that would end too late at this inter-token latency and could still end in time at a better
 *     one
 */
public record StreamStats(int streams, double totalInterTokenMillis, int lagging) {
    /** No stream is known. */
    public static final StreamStats NONE = new StreamStats(0, 0, 0);

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
    public double meanInterTokenMillis() {
        return isKnown() ? totalInterTokenMillis / streams : 0;
    }

    StreamStats plus(StreamStats other) {
        return new StreamStats(
                streams + other.streams, totalInterTokenMillis + other.totalInterTokenMillis, lagging + other.lagging);
    }
}
