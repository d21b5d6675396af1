package org.rattanplank.daemon.caller;

/**
 * What a caller may use up. Immutable and thread safe.
 *
 * @param maxBodyBytes the largest body
 * @param maxHeaderBytes the largest request line, and the largest block of headers
 * @param maxConnections how many connections may be open
 * @param streamBufferBytes how much of a stream may wait for a slow caller
 * @param idleTimeoutMillis how long a connection may be without a request
 * @param readTimeoutMillis how long a request may take to arrive
 * @param defaultTimeoutMillis the deadline of a request that states none
 * @param maxTimeoutMillis the longest deadline
 */
public record CallerLimits(
        int maxBodyBytes,
        int maxHeaderBytes,
        int maxConnections,
        long streamBufferBytes,
        long idleTimeoutMillis,
        long readTimeoutMillis,
        long defaultTimeoutMillis,
        long maxTimeoutMillis) {}
