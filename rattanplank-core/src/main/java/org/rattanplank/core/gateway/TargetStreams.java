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

    private final Set<InFlightRequest> running = new LinkedHashSet<>();
    private final Map<String, StreamStats> statsByHost = new HashMap<>();
    private double interTokenMillis;
    private long intervalAtMillis = Long.MIN_VALUE / 2;

    /** The sum of what other hosts reported, maintained incrementally as each choice reads it for each target. */
    private StreamStats otherHostsStats = StreamStats.NONE;

    void add(InFlightRequest stream) {
        running.add(stream);
    }

    void remove(InFlightRequest stream) {
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
    public StreamStats ownStats(long nowMillis) {
        if (!hasRecentInterval(nowMillis)) {
            return StreamStats.NONE;
        }
        int streams = Math.max(1, running.size());
        StreamStats observed = new StreamStats(streams, streams * interTokenMillis, 0);
        double totalMillis = otherHostsStats.plus(observed).meanInterTokenMillis();
        int lagging = 0;
        for (InFlightRequest stream : running) {
            if (stream.isLagging(totalMillis, nowMillis)) {
                lagging++;
            }
        }
        return new StreamStats(streams, observed.totalInterTokenMillis(), lagging);
    }

    /**
     * Returns the statistics of the streams of all hosts of the region.
     *
     * @param nowMillis the time
     * @return the statistics
     */
    public StreamStats totalStats(long nowMillis) {
        return otherHostsStats.plus(ownStats(nowMillis));
    }

    /**
     * Updates the statistics of another host's streams there.
     *
     * @param host the other host
     * @param stats the statistics of its streams
     */
    public void updateFromHost(String host, StreamStats stats) {
        StreamStats previous = stats.isKnown() ? statsByHost.put(host, stats) : statsByHost.remove(host);
        if (previous == null && !stats.isKnown()) {
            return;
        }
        StreamStats sum = StreamStats.NONE;
        for (StreamStats each : statsByHost.values()) {
            sum = sum.plus(each);
        }
        otherHostsStats = sum;
    }

    private boolean hasRecentInterval(long nowMillis) {
        return nowMillis - intervalAtMillis < STATS_VALIDITY_MILLIS;
    }
}
