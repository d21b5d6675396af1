package org.rattanplank.core.gateway;

/**
 * Limits on the requests and connections of callers. Immutable and thread safe.
 *
 * @param maxHeadBytes the maximum size of a request's header
 * @param maxBodyBytes the maximum size of a request's body
 * @param headTimeoutMillis the maximum time for sending a header
 * @param idleTimeoutMillis how long a connection may be idle between two requests
 */
public record CallerBounds(int maxHeadBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
    /** The limits until a configuration is known, equal to the defaults of its format. */
    public static final CallerBounds DEFAULTS = new CallerBounds(16_384, 4_194_304, 3_000, 15_000);

    public CallerBounds {
        if (maxHeadBytes <= 0 || maxBodyBytes < 0 || headTimeoutMillis <= 0 || idleTimeoutMillis <= 0) {
            throw new IllegalArgumentException("a caller limit is not positive");
        }
    }
}
