package org.rattanplank.daemon.peer;

/**
 * The times of links. Immutable and thread safe.
 *
 * @param connectTimeoutMillis when dialling is given up
 * @param pingIntervalMillis how often a link is pinged
 * @param pingTimeoutMillis when a link without any answer counts as silent
 * @param redialMinMillis the first pause before dialling again
 * @param redialMaxMillis the longest pause before dialling again
 * @param linkIdleMillis when an unused link that need not be kept is closed
 */
public record PeerTimes(
        long connectTimeoutMillis,
        long pingIntervalMillis,
        long pingTimeoutMillis,
        long redialMinMillis,
        long redialMaxMillis,
        long linkIdleMillis) {}
