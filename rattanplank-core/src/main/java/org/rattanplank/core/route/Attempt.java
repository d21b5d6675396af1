package org.rattanplank.core.route;

import io.vavr.control.Option;

/**
 * A running attempt with the estimates made when it started. Immutable and thread safe.
 *
 * @param route the destination
 * @param target the target, if the attempt was sent to a listed target
 * @param queueWaitMillis the estimated queue wait
 * @param prefillMillis the estimated time to prefill the prompt tokens that are not cached
 * @param runMillis the estimated time of the whole run, zero while the service has no samples
 */
record Attempt(Route route, Option<Target> target, double queueWaitMillis, double prefillMillis, double runMillis) {

    /**
     * Returns the estimated latency.
     *
     * @return the estimated queue wait and run time, or none while the service has no samples
     */
    Option<Double> expectedMillis() {
        return runMillis > 0 ? Option.some(queueWaitMillis + runMillis) : Option.none();
    }
}
