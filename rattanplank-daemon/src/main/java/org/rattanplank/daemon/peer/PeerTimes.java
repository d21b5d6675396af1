package org.rattanplank.daemon.peer;

/**
 * The timeouts and intervals of links. Immutable and thread safe.
 *
 * @param connectTimeoutMillis timeout for opening a connection
 * @param pingIntervalMillis interval between pings
 * @param pingTimeoutMillis time without any received message after which a connection is closed
 * @param redialMinMillis initial delay before redialling; it doubles after each failure
 * @param redialMaxMillis maximum delay before redialling
 * @param linkIdleMillis idle time after which a link that is not persistent is closed
 */
public record PeerTimes(
        long connectTimeoutMillis,
        long pingIntervalMillis,
        long pingTimeoutMillis,
        long redialMinMillis,
        long redialMaxMillis,
        long linkIdleMillis) {}
