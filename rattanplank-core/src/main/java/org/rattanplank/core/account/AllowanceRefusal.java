package org.rattanplank.core.account;

/**
 * Why a request is over the allowance of its client account. Immutable and thread safe.
 *
 * @param limitUnits the units that this region may use in a window
 * @param usedUnits the units that it has used, as far as this host knows
 * @param usedHerePerSecond the units per second that this host uses
 * @param usedElsewherePerSecond the units per second that the other hosts of the region use, as they told
 * @param oldestReportMillis the age of the oldest of their reports
 * @param retryAfterMillis the time after which the region will be within its allowance again
 */
public record AllowanceRefusal(
        double limitUnits,
        double usedUnits,
        double usedHerePerSecond,
        double usedElsewherePerSecond,
        long oldestReportMillis,
        long retryAfterMillis) {}
