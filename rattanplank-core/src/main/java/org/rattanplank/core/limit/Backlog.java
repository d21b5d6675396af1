package org.rattanplank.core.limit;

/**
 * How much work is in the way of a request. Immutable and thread safe.
 *
 * @param waitMillis how long the request would wait before it runs
 * @param runMillis how long it would run
 * @param meanRunMillis how long requests of its service run on average
 */
public record Backlog(double waitMillis, double runMillis, double meanRunMillis) {

    /**
     * The waiting time in units of the service's average run, so that one bound fits slow and fast services.
     *
     * @return the wait, in average runs
     */
    public double depth() {
        return waitMillis / Math.max(1, meanRunMillis);
    }
}
