package org.rattanplank.gateway.pass;

import org.rattanplank.core.gateway.RouteRule;

/**
 * How an answer met its route's objectives. Immutable and thread safe.
 *
 * @param firstPartMillis the time from the request's arrival to the first part of the answer
 * @param longestGapMillis the longest pause between two parts
 * @param firstPartLate whether the first part came after the objective
 * @param pauseTooLong whether a pause was longer than the objective
 */
record Timeliness(long firstPartMillis, long longestGapMillis, boolean firstPartLate, boolean pauseTooLong) {
    static Timeliness of(CallerReply reply, long arrivedAtMillis, RouteRule route) {
        long firstPartMillis = reply.firstAtMillis() - arrivedAtMillis;
        long longestGapMillis = reply.longestGapMillis();
        return new Timeliness(
                firstPartMillis,
                longestGapMillis,
                firstPartMillis > route.objectiveMillis(),
                route.gapMillis() > 0 && longestGapMillis > route.gapMillis());
    }

    boolean isLate() {
        return firstPartLate || pauseTooLong;
    }
}
