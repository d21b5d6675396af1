package org.rattanplank.gateway;

/**
 * Bounds that all hosts keep together or that the platform sets. Immutable and thread safe.
 *
 * @param stopGraceMillis how long a process may take to end after it was asked to
 * @param repeatRatio the repeats that each first send allows
 * @param repeatSlack the repeats allowed besides in a window, over all hosts
 * @param repeatWindowMillis the window
 * @param listSeconds how long callers may use the list of hosts
 * @param leaseMillis the shortest lease that the store grants
 */
public record SharedLimits(
        long stopGraceMillis,
        double repeatRatio,
        double repeatSlack,
        long repeatWindowMillis,
        int listSeconds,
        long leaseMillis) {
    public SharedLimits {
        if (stopGraceMillis <= 0 || repeatWindowMillis <= 0 || listSeconds <= 0) {
            throw new IllegalArgumentException("a limit is not positive");
        }
    }
}
