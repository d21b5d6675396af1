package org.rattanplank.bench.claim;

/**
 * What one way gave in one scenario. Immutable and thread safe.
 *
 * @param medianMillis the median time from asking to being told to run
 * @param tailMillis the 99th percentile of the same
 * @param bookings how many keys there were
 * @param answered how many got their answer
 * @param unknown how many were told that they may have run
 * @param ranTwice how many ran more than once
 * @param storeWrites how many writes the store took
 */
record WayResult(
        double medianMillis,
        double tailMillis,
        int bookings,
        int answered,
        int unknown,
        int ranTwice,
        long storeWrites) {

    double answeredPercent() {
        return 100.0 * answered / bookings;
    }
}
