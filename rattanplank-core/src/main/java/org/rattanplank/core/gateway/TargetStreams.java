package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The streams that run at one target.
 *
 * <p>Invariant: what another host told counts until it tells anew or is lost. Confined to its owner's thread.
 */
public final class TargetStreams {
    /** A pace is believed so long; an engine's load changes within seconds. */
    private static final long STATS_VALIDITY_MILLIS = 3_000;

    /** Some tens of streams bring that many events in a fraction of a second. */
    private static final double SMOOTHING = 0.05;

    private final Set<SentRequest> running = new LinkedHashSet<>();
    private final Map<String, StreamPace> statsByHost = new HashMap<>();
    private double interTokenMillis;
    private long intervalAtMillis = Long.MIN_VALUE / 2;

    /** The sum of what other hosts told, kept rather than worked out: each choice asks for it of each target. */
    private StreamPace otherHostsStats = StreamPace.NONE;

    void add(SentRequest stream) {
        running.add(stream);
    }

    void remove(SentRequest stream) {
        running.remove(stream);
    }

    void recordEventInterval(double millis, long nowMillis) {
        interTokenMillis = hasRecentInterval(nowMillis) ? interTokenMillis + SMOOTHING * (millis - interTokenMillis) : millis;
        intervalAtMillis = nowMillis;
    }

    /**
     * What this host sees of its own streams.
     *
     * @param nowMillis the time
     * @return how they get on
     */
    public StreamPace own(long nowMillis) {
        if (!hasRecentInterval(nowMillis)) {
            return StreamPace.NONE;
        }
        int streams = Math.max(1, running.size());
        StreamPace seen = new StreamPace(streams, streams * interTokenMillis, 0);
        double allMillis = otherHostsStats.plus(seen).millis();
        int behind = 0;
        for (SentRequest stream : running) {
            if (stream.isLagging(allMillis, nowMillis)) {
                behind++;
            }
        }
        return new StreamPace(streams, seen.totalMillis(), behind);
    }

    /**
     * What all hosts of the region see.
     *
     * @param nowMillis the time
     * @return how the target's streams get on
     */
    public StreamPace all(long nowMillis) {
        return otherHostsStats.plus(own(nowMillis));
    }

    /**
     * Takes what another host sees of its streams there.
     *
     * @param host the other host
     * @param pace how they get on
     */
    public void toldByOther(String host, StreamPace pace) {
        StreamPace before = pace.isKnown() ? statsByHost.put(host, pace) : statsByHost.remove(host);
        if (before == null && !pace.isKnown()) {
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
