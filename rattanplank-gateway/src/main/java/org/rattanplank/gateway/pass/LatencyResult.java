package org.rattanplank.gateway.pass;

import org.rattanplank.core.gateway.RouteRule;

/**
 * The latencies of a response, compared with the objectives of its route. Immutable and thread safe.
 *
 * @param firstChunkMillis the time from the request's arrival to the first chunk of the response body
 * @param longestGapMillis the longest time between two chunks
 * @param firstChunkLate whether the first chunk missed its objective
 * @param gapTooLong whether a gap exceeded its objective
 */
record LatencyResult(long firstChunkMillis, long longestGapMillis, boolean firstChunkLate, boolean gapTooLong) {
    static LatencyResult of(CallerResponse response, long arrivedAtMillis, RouteRule route) {
        long firstChunkMillis = response.firstChunkAtMillis() - arrivedAtMillis;
        long longestGapMillis = response.longestGapMillis();
        return new LatencyResult(
                firstChunkMillis,
                longestGapMillis,
                firstChunkMillis > route.objectiveMillis(),
                route.gapObjectiveMillis() > 0 && longestGapMillis > route.gapObjectiveMillis());
    }

    boolean isLate() {
        return firstChunkLate || gapTooLong;
    }
}
