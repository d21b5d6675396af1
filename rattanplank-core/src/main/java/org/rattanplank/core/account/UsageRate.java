package org.rattanplank.core.account;

/**
 * An exponentially weighted rate of units over time. Confined to its owner's thread.
 *
 * <p>Invariant: the rate is never negative, and decays while nothing is recorded.
 */
public final class UsageRate {
    private final double timeConstantMillis;
    private double perSecond;
    private long updatedAtMillis;

    /**
     * Creates a rate of zero.
     *
     * @param timeConstantMillis the time in which what was recorded decays to 1/e
     */
    public UsageRate(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    /**
     * Records units.
     *
     * @param units the units; negative ones take back what was recorded
     * @param nowMillis the time
     */
    public void record(double units, long nowMillis) {
        perSecond = Math.max(0, perSecond(nowMillis) + units * AllowanceControl.MILLIS_PER_SECOND / timeConstantMillis);
        updatedAtMillis = nowMillis;
    }

    /**
     * Returns the rate.
     *
     * @param nowMillis the time
     * @return units a second
     */
    public double perSecond(long nowMillis) {
        return perSecond * Math.exp(-Math.max(0, nowMillis - updatedAtMillis) / timeConstantMillis);
    }
}
