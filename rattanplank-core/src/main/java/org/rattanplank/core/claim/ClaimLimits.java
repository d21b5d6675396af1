package org.rattanplank.core.claim;

/**
 * Bounds on the time and memory of claims. Immutable and thread safe.
 *
 * @param retentionMillis how long a claim is kept, from the creation of its key or the time it was claimed, whichever
 *     is later
 * @param maxClaims the maximum number of claims; at this bound new keys are rejected and no claim is evicted
 * @param maxAnswerBytes the maximum size of a stored answer
 * @param maxTotalAnswerBytes the maximum total size of all stored answers
 * @param clockMarginMillis the maximum difference between the clocks of hosts and callers
 * @param openTimeoutMillis how long a request waits for its grant before it is rejected
 * @param unresponsiveMillis how long a member may leave a claim unacknowledged before its removal is proposed
 * @param resendMillis the time after which an unacknowledged message is sent again
 * @param disconnectGraceMillis how long a member may be disconnected before its removal is proposed
 * @param pauseThresholdMillis the gap between two events above which a process considers itself to have been paused
 * @param storeRetryMillis the delay after a failed call to the store
 * @param hostListLagMillis the maximum lag of the host list of the platform
 * @param leaveTimeoutMillis how long a leaving host waits for the other members
 */
public record ClaimLimits(
        long retentionMillis,
        int maxClaims,
        int maxAnswerBytes,
        long maxTotalAnswerBytes,
        long clockMarginMillis,
        long openTimeoutMillis,
        long unresponsiveMillis,
        long resendMillis,
        long disconnectGraceMillis,
        long pauseThresholdMillis,
        long storeRetryMillis,
        long hostListLagMillis,
        long leaveTimeoutMillis) {
    private static final ClaimLimits DEFAULTS = new ClaimLimits(
            900_000, 50_000, 16_384, 16_777_216, 5_000, 2_000, 1_000, 250, 300, 2_000, 500, 30_000, 10_000);

    public ClaimLimits {
        if (retentionMillis <= 0 || maxClaims <= 0 || resendMillis <= 0 || storeRetryMillis <= 0) {
            throw new IllegalArgumentException(
                    "retention, maximum number of claims, resend interval and store retry delay must be positive");
        }
    }

    /**
     * Returns the default limits.
     *
     * @return the limits
     */
    public static ClaimLimits defaults() {
        return DEFAULTS;
    }

    /**
     * Returns limits with a different retention and clock margin.
     *
     * @param newRetentionMillis how long a claim is kept
     * @param newClockMarginMillis the maximum difference between the clocks of hosts and callers
     * @return the changed limits
     */
    public ClaimLimits withRetention(long newRetentionMillis, long newClockMarginMillis) {
        return with(newRetentionMillis, maxClaims, maxAnswerBytes, maxTotalAnswerBytes, newClockMarginMillis);
    }

    /**
     * Returns limits with a different maximum number of claims.
     *
     * @param newMaxClaims the maximum number of claims
     * @return the changed limits
     */
    public ClaimLimits withMaxClaims(int newMaxClaims) {
        return with(retentionMillis, newMaxClaims, maxAnswerBytes, maxTotalAnswerBytes, clockMarginMillis);
    }

    /**
     * Returns limits with different bounds on stored answers.
     *
     * @param newMaxAnswerBytes the maximum size of a stored answer
     * @param newMaxTotalAnswerBytes the maximum total size of all stored answers
     * @return the changed limits
     */
    public ClaimLimits withAnswerBytes(int newMaxAnswerBytes, long newMaxTotalAnswerBytes) {
        return with(retentionMillis, maxClaims, newMaxAnswerBytes, newMaxTotalAnswerBytes, clockMarginMillis);
    }

    private ClaimLimits with(
            long newRetentionMillis,
            int newMaxClaims,
            int newMaxAnswerBytes,
            long newMaxTotalAnswerBytes,
            long newClockMarginMillis) {
        return new ClaimLimits(
                newRetentionMillis,
                newMaxClaims,
                newMaxAnswerBytes,
                newMaxTotalAnswerBytes,
                newClockMarginMillis,
                openTimeoutMillis,
                unresponsiveMillis,
                resendMillis,
                disconnectGraceMillis,
                pauseThresholdMillis,
                storeRetryMillis,
                hostListLagMillis,
                leaveTimeoutMillis);
    }

    /**
     * Returns the time at which a claim can be removed; by then every host rejects its key as too old, whatever the
     * error of its clock.
     */
    long expiresAtMillis(ClaimKey key, long claimedAtMillis) {
        long createdAtMillis = KeyTimestamp.of(key.key()).getOrElse(claimedAtMillis);
        return Math.max(createdAtMillis, claimedAtMillis) + retentionMillis + 2 * clockMarginMillis;
    }
}
