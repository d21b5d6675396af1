package org.rattanplank.bench.claim;

/**
 * The result of one strategy in one scenario. Immutable and thread safe.
 *
 * @param medianMillis the median time from the request to the decision to run, in milliseconds
 * @param p99Millis the 99th percentile of the same time, in milliseconds
 * @param bookings the number of keys
 * @param answered the number of keys that received their response
 * @param unknown the number of keys without a response that were reported as possibly run
 * @param ranTwice the number of keys that ran more than once
 * @param storeWrites the number of writes that the store executed
 */
record StrategyResult(
        double medianMillis,
        double p99Millis,
        int bookings,
        int answered,
        int unknown,
        int ranTwice,
        long storeWrites) {

    double answeredPercent() {
        return 100.0 * answered / bookings;
    }
}
