package org.rattanplank.core.account;

/**
 * An exponentially weighted rate of units over time. Confined to its owner's thread.
 *
 * <p>Invariant: the rate is never negative, and decays while nothing is recorded.
 */
final class UsageRate {
    private final double timeConstantMillis;
    private double perSecond;
    private long updatedAtMillis;

    UsageRate(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    void record(double units, long nowMillis) {
        perSecond = Math.max(0, perSecond(nowMillis) + units * AllowanceControl.MILLIS_PER_SECOND / timeConstantMillis);
        updatedAtMillis = nowMillis;
    }

    double perSecond(long nowMillis) {
        return perSecond * Math.exp(-Math.max(0, nowMillis - updatedAtMillis) / timeConstantMillis);
    }
}
