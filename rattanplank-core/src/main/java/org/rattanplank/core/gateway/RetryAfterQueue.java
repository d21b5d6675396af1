package org.rattanplank.core.gateway;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Determines the Retry-After time of rejected callers: one after the other, at the rate at which this host's share of
 * the engines could serve them.
 *
 * <p>It guards against lasting overload. Callers that are all given the same short time come back into the same
 * backlog, displace others there, and are rejected again. Spread by the work that they bring, those of a short peak
 * come back soon, and those of a long one as late as is of use to them, in the order in which they were rejected.
 * Invariants: the time is never shorter than {@link #MIN_RETRY_AFTER_MILLIS}, nor than the time for which nothing can be
 * served; beyond both it is never longer than is of use to the caller. Confined to its owner's thread.
 */
public final class RetryAfterQueue {
    /**
     * Long enough for an engine to prefill some prompts; after a shorter time callers would meet the same load again.
     */
    static final long MIN_RETRY_AFTER_MILLIS = 400;

    /** Callers rejected at one moment come back spread over this time. */
    static final long JITTER_MILLIS = 400;

    /** Fraction of a caller's remaining time that may be spent waiting; the rest is for its answer. */
    static final double MAX_REMAINING_FRACTION = 0.3;

    private final Map<String, EnumMap<Urgency, Double>> nextRetryMillis = new HashMap<>();

    /**
     * Returns the time after which a rejected caller should retry.
     *
     * @param service the service
     * @param urgency the urgency of the request
     * @param costMillis the time that the request takes of this host's share of the engines
     * @param unavailableMillis how long nothing of the service can be served, zero if something can
     * @param remainingMillis the time that its caller has left
     * @param draw a number from 0 up to, but not including, 1
     * @param nowMillis the time
     * @return the time, in milliseconds
     */
    public long retryAfterMillis(
            String service,
            Urgency urgency,
            double costMillis,
            long unavailableMillis,
            long remainingMillis,
            double draw,
            long nowMillis) {
        EnumMap<Urgency, Double> byUrgency =
                nextRetryMillis.computeIfAbsent(service, name -> new EnumMap<>(Urgency.class));
        double usefulMillis = MAX_REMAINING_FRACTION * (remainingMillis - unavailableMillis);
        double maxMillis = unavailableMillis + Math.max(MIN_RETRY_AFTER_MILLIS, usefulMillis);
        double nextMillis = Math.max(byUrgency.getOrDefault(urgency, 0.0), nowMillis + unavailableMillis);
        // Callers whose delay is capped at the maximum don't lengthen the queue: a later retry would be too late for
        // their deadline.
        byUrgency.put(urgency, Math.min(nextMillis + costMillis, nowMillis + maxMillis));
        double retryAfterMillis = nextMillis - nowMillis + MIN_RETRY_AFTER_MILLIS + JITTER_MILLIS * draw;
        return Math.round(Math.min(retryAfterMillis, maxMillis));
    }
}
