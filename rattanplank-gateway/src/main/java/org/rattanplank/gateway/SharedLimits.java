package org.rattanplank.gateway;

/**
 * Limits that apply to all hosts together or that the platform sets. Immutable and thread safe.
 *
 * @param stopGraceMillis how long a process may take to terminate after a stop request
 * @param repeatRatio the retry budget per first send
 * @param repeatSlack the additional retries allowed per window, over all hosts
 * @param repeatWindowMillis the window of the retry budget
 * @param listSeconds how long callers may use the list of entry hosts
 * @param leaseMillis the minimum lease that the store grants
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
            throw new IllegalArgumentException("stop grace, retry budget window and list validity must be positive");
        }
    }
}
