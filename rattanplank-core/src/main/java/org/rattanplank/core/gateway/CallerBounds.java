package org.rattanplank.core.gateway;

/**
 * What callers may send and how long they may take. Immutable and thread safe.
 *
 * @param maxHeadBytes the largest head of a request
 * @param maxBodyBytes the largest body of a request
 * @param headTimeoutMillis the longest time for sending a head
 * @param idleTimeoutMillis how long a connection may be idle between two requests
 */
public record CallerBounds(int maxHeadBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
    /** What holds until a configuration is known: what its format takes as defaults. */
    public static final CallerBounds DEFAULTS = new CallerBounds(16_384, 4_194_304, 3_000, 15_000);

    public CallerBounds {
        if (maxHeadBytes <= 0 || maxBodyBytes < 0 || headTimeoutMillis <= 0 || idleTimeoutMillis <= 0) {
            throw new IllegalArgumentException("a bound of callers is not positive");
        }
    }
}
