package org.rattanplank.cli;

/**
 * Number of requests and how many of them were served. Immutable and thread safe.
 *
 * @param requests the number of requests
 * @param served the number of served requests
 */
record ServedCount(long requests, long served) {
    ServedCount {
        if (served < 0 || served > requests) {
            throw new IllegalArgumentException(served + " served of " + requests + " requests");
        }
    }

    ServedCount plus(ServedCount other) {
        return new ServedCount(requests + other.requests, served + other.served);
    }

    /** Returns the fraction that was served, zero without requests. */
    double servedShare() {
        return requests == 0 ? 0 : (double) served / requests;
    }
}
