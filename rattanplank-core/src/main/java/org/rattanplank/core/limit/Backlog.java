package org.rattanplank.core.limit;

/**
 * The work ahead of a request. Immutable and thread safe.
 *
 * @param queueWaitMillis how long the request would wait in the queue
 * @param runMillis how long the request would run
 * @param meanRunMillis the mean run time of requests of its service
 */
public record Backlog(double queueWaitMillis, double runMillis, double meanRunMillis) {

    /**
     * Returns the queue wait in units of the service's mean run time, so that one bound fits slow and fast services.
     *
     * @return the queue wait, in mean run times
     */
    public double depth() {
        return queueWaitMillis / Math.max(1, meanRunMillis);
    }
}
