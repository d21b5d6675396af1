package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The streams that run at one target.
 *
 * <p>Invariant: a report of another host is valid until its next one or until that host is lost. Confined to its
 * owner's thread.
 */
public final class TargetStreams {
    /** How long an observed inter-token latency is valid; an engine's load changes within seconds. */
    private static final long STATS_VALIDITY_MILLIS = 3_000;

    /**
     * Weight of a new event; some tens of streams produce enough events for a new mean within a fraction of a second.
     */
    private static final double SMOOTHING = 0.05;

    private final Set<SentRequest> running = new LinkedHashSet<>();
    private final Map<String, StreamPace> statsByHost = new HashMap<>();
    private double interTokenMillis;
    private long intervalAtMillis = Long.MIN_VALUE / 2;

    /** The sum of what other hosts reported, maintained incrementally as each choice reads it for each target. */
    private StreamPace otherHostsStats = StreamPace.NONE;

    void add(SentRequest stream) {
        running.add(stream);
    }

    void remove(SentRequest stream) {
        running.remove(stream);
    }

    void recordEventInterval(double millis, long nowMillis) {
        interTokenMillis =
                hasRecentInterval(nowMillis) ? interTokenMillis + SMOOTHING * (millis - interTokenMillis) : millis;
        intervalAtMillis = nowMillis;
    }

    /**
     * Returns the statistics of this host's own streams.
     *
     * @param nowMillis the time
     * @return the statistics
     */
    public StreamPace own(long nowMillis) {
        if (!hasRecentInterval(nowMillis)) {
            return StreamPace.NONE;
        }
        int streams = Math.max(1, running.size());
        StreamPace observed = new StreamPace(streams, streams * interTokenMillis, 0);
        double totalMillis = otherHostsStats.plus(observed).millis();
        int lagging = 0;
        for (SentRequest stream : running) {
            if (stream.isLagging(totalMillis, nowMillis)) {
                lagging++;
            }
        }
        return new StreamPace(streams, observed.totalMillis(), lagging);
    }

    /**
     * Returns the statistics of the streams of all hosts of the region.
     *
     * @param nowMillis the time
     * @return the statistics
     */
    public StreamPace all(long nowMillis) {
        return otherHostsStats.plus(own(nowMillis));
    }

    /**
     * Updates the statistics of another host's streams there.
     *
     * @param host the other host
     * @param stats the statistics of its streams
     */
    public void toldByOther(String host, StreamPace stats) {
        StreamPace previous = stats.isKnown() ? statsByHost.put(host, stats) : statsByHost.remove(host);
        if (previous == null && !stats.isKnown()) {
            return;
        }
        StreamPace sum = StreamPace.NONE;
        for (StreamPace each : statsByHost.values()) {
            sum = sum.plus(each);
        }
        otherHostsStats = sum;
    }

    private boolean hasRecentInterval(long nowMillis) {
        return nowMillis - intervalAtMillis < STATS_VALIDITY_MILLIS;
    }
}
