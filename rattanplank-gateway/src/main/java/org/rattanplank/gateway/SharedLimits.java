package org.rattanplank.gateway;

import java.util.Objects;

import org.rattanplank.core.account.AllowanceBounds;

/**
 * Limits that apply to all hosts together or that the platform sets. Immutable and thread safe.
 *
 * @param stopGraceMillis how long a process may take to terminate after a stop request
 * @param retryBudgetRatio the retry budget per first send
 * @param retryBudgetSlack the additional retries allowed per window, over all hosts
 * @param retryBudgetWindowMillis the window of the retry budget
 * @param entryHostsTtlSeconds how long callers may use the list of entry hosts
 * @param minLeaseMillis the minimum lease that the store grants
 * @param allowanceBounds how far client accounts may go beyond their allowances
 */
public record SharedLimits(
        long stopGraceMillis,
        double retryBudgetRatio,
        double retryBudgetSlack,
        long retryBudgetWindowMillis,
        int entryHostsTtlSeconds,
        long minLeaseMillis,
        AllowanceBounds allowanceBounds) {
    public SharedLimits {
        Objects.requireNonNull(allowanceBounds, "allowanceBounds");
        if (stopGraceMillis <= 0 || retryBudgetWindowMillis <= 0 || entryHostsTtlSeconds <= 0) {
            throw new IllegalArgumentException("stop grace, retry budget window and list validity must be positive");
        }
    }
}
