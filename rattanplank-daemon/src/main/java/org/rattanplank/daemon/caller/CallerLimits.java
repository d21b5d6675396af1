package org.rattanplank.daemon.caller;

/**
 * Limits on the connections and requests of callers. Immutable and thread safe.
 *
 * @param maxBodyBytes the maximum size of a request body
 * @param maxHeaderBytes the maximum size of the request line, and of all headers together
 * @param maxConnections the maximum number of open connections
 * @param streamBufferBytes the maximum number of bytes of a stream that are buffered for a slow caller
 * @param idleTimeoutMillis the time after which a connection without a request is closed
 * @param readTimeoutMillis the time within which a request must arrive completely
 * @param defaultTimeoutMillis the timeout of a request that sets none
 * @param maxTimeoutMillis the upper limit of a request's timeout
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
