package org.rattanplank.core.claim;

/**
 * The bounds on time and memory of the claims. Immutable and thread safe.
 *
 * @param retentionMillis how long a claim is kept, counted from when its key was made or claimed, whichever is later
 * @param maxClaims the most claims that are held; at the bound new keys are refused and nothing is forgotten
 * @param maxAnswerBytes the largest answer that is kept
 * @param maxTotalAnswerBytes the most bytes of all kept answers
 * @param clockMarginMillis by how much the clocks of hosts and callers may differ
 * @param openTimeoutMillis how long a request waits for the right to run before it is refused
 * @param unresponsiveMillis how long a member may leave a claim unanswered before its removal is proposed
 * @param resendMillis after how long an unanswered message is sent again
 * @param disconnectGraceMillis how long a member's link may be down before its removal is proposed
 * @param pauseThresholdMillis the gap between two events after which a host takes itself for having been paused
 * @param storeRetryMillis how long to wait after a failed call to the store
 * @param hostListLagMillis how long the platform's list of hosts may lag
 * @param leaveTimeoutMillis how long a host that leaves waits for the others
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
            throw new IllegalArgumentException("limits of claims must be positive");
        }
    }

    /**
     * The limits that suit most deployments.
     *
     * @return the limits
     */
    public static ClaimLimits defaults() {
        return DEFAULTS;
    }

    /**
     * Bounds the time for which claims are kept.
     *
     * @param retention how long a claim is kept
     * @param clockMargin by how much the clocks of hosts and callers may differ
     * @return the changed limits
     */
    public ClaimLimits withTimes(long retention, long clockMargin) {
        return with(retention, maxClaims, maxAnswerBytes, maxTotalAnswerBytes, clockMargin);
    }

    /**
     * Bounds the number of claims.
     *
     * @param claims the most claims that are held
     * @return the changed limits
     */
    public ClaimLimits withMaxClaims(int claims) {
        return with(retentionMillis, claims, maxAnswerBytes, maxTotalAnswerBytes, clockMarginMillis);
    }

    /**
     * Bounds the memory of kept answers.
     *
     * @param answerBytes the largest answer that is kept
     * @param totalAnswerBytes the most bytes of all kept answers
     * @return the changed limits
     */
    public ClaimLimits withAnswerBytes(int answerBytes, long totalAnswerBytes) {
        return with(retentionMillis, maxClaims, answerBytes, totalAnswerBytes, clockMarginMillis);
    }

    private ClaimLimits with(long retention, int claims, int answerBytes, long totalAnswerBytes, long clockMargin) {
        return new ClaimLimits(
                retention,
                claims,
                answerBytes,
                totalAnswerBytes,
                clockMargin,
                openTimeoutMillis,
                unresponsiveMillis,
                resendMillis,
                disconnectGraceMillis,
                pauseThresholdMillis,
                storeRetryMillis,
                hostListLagMillis,
                leaveTimeoutMillis);
    }

    /** When a claim may be forgotten; by then every host refuses its key as too old, whatever its clock's error. */
    long expiresAtMillis(ClaimKey key, long claimedAtMillis) {
        long madeAtMillis = KeyTimestamp.of(key.key()).getOrElse(claimedAtMillis);
        return Math.max(madeAtMillis, claimedAtMillis) + retentionMillis + 2 * clockMarginMillis;
    }
}
