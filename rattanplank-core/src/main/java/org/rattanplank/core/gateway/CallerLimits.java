package org.rattanplank.core.gateway;

/**
 * Limits on the requests and connections of callers. Immutable and thread safe.
 *
 * @param maxHeaderBytes the maximum size of a request's header
 * @param maxBodyBytes the maximum size of a request's body
 * @param headerTimeoutMillis the maximum time for sending a header
 * @param idleTimeoutMillis how long a connection may be idle between two requests
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits until a configuration is known, equal to the defaults of its format. */
    public static final CallerLimits DEFAULTS = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

    public CallerLimits {
        if (maxHeaderBytes <= 0 || maxBodyBytes < 0 || headerTimeoutMillis <= 0 || idleTimeoutMillis <= 0) {
            throw new IllegalArgumentException("a caller limit is not positive");
        }
    }
}
