package org.rattanplank.core.account;

/**
 * How far the use of an allowance may go beyond it, summed over all hosts. Immutable and thread safe.
 *
 * @param windowMillis the span over which use is summed
 * @param overageFraction the fraction of the allowance by which it may be exceeded
 * @param slackUnits the units by which it may be exceeded besides
 */
public record AllowanceBounds(long windowMillis, double overageFraction, double slackUnits) {
    /** No excess is allowed. */
    public static final AllowanceBounds EXACT = new AllowanceBounds(1_000, 0, 0);

    public AllowanceBounds {
        if (windowMillis <= 0 || !(overageFraction >= 0) || !(slackUnits >= 0)) {
            throw new IllegalArgumentException(
                    "an allowance needs a positive window, and an overage and slack that are not negative");
        }
    }

    /**
     * Returns the units that may be used in a window.
     *
     * @param allowance the allowance
     * @return units, without any excess
     */
    double windowUnits(Allowance allowance) {
        return allowance.unitsPerSecond() * windowMillis / AllowanceControl.MILLIS_PER_SECOND + allowance.burstUnits();
    }

    /**
     * Returns the excess that is allowed in a window.
     *
     * @param allowance the allowance
     * @return units
     */
    double excessUnits(Allowance allowance) {
        return overageFraction * windowUnits(allowance) + slackUnits;
    }
}
