package org.rattanplank.gateway;

/**
 * Limits that apply to all hosts together or that the platform sets. Immutable and thread safe.
 *
 * @param stopGraceMillis how long a process may take to terminate after a stop request
 * @param retryBudgetRatio the retry budget per first send
 * @param retryBudgetSlack the additional retries allowed per window, over all hosts
 * @param retryBudgetWindowMillis the window of the retry budget
 * @param entryHostsTtlSeconds how long callers may use the list of entry hosts
 * @param minLeaseMillis the minimum lease that the store grants
 */
public record SharedLimits(
        long stopGraceMillis,
        double retryBudgetRatio,
        double retryBudgetSlack,
        long retryBudgetWindowMillis,
        int entryHostsTtlSeconds,
        long minLeaseMillis) {
    public SharedLimits {
        if (stopGraceMillis <= 0 || retryBudgetWindowMillis <= 0 || entryHostsTtlSeconds <= 0) {
            throw new IllegalArgumentException("stop grace, retry budget window and list validity must be positive");
        }
    }
}
