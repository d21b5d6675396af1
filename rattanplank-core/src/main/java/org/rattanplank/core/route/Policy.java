package org.rattanplank.core.route;

import io.vavr.control.Option;

/** A routing policy: how the router weighs latency, cost and spillover when it chooses a target. */
public enum Policy {
    /** Favours low cost and few requests outside their home region. */
    COST(1, 1.5, 2, 1_500, 300),
    /** Favours low tail latency. */
    TAIL(4, 1, 1, 0, -500),
    /** A baseline: a random eligible target. */
    RANDOM,
    /** A baseline: the eligible targets in turn. */
    ROUND_ROBIN,
    /** A baseline: the target with the lowest load as last reported. */
    LEAST_REPORTED,
    /** A baseline: the target of the home region with the lowest load as last reported. */
    HOME_ONLY;

    private final boolean baseline;
    private final double queueWaitWeight;
    private final double prefillWeight;
    private final double crossRegionWeight;
    private final double openingGainMillis;
    private final double closingGainMillis;

    Policy() {
        this(true, 1, 1, 1, 0, 0);
    }

    Policy(
            double queueWaitWeight,
            double prefillWeight,
            double crossRegionWeight,
            double openingGainMillis,
            double closingGainMillis) {
        this(false, queueWaitWeight, prefillWeight, crossRegionWeight, openingGainMillis, closingGainMillis);
    }

    Policy(
            boolean baseline,
            double queueWaitWeight,
            double prefillWeight,
            double crossRegionWeight,
            double openingGainMillis,
            double closingGainMillis) {
        this.baseline = baseline;
        this.queueWaitWeight = queueWaitWeight;
        this.prefillWeight = prefillWeight;
        this.crossRegionWeight = crossRegionWeight;
        this.openingGainMillis = openingGainMillis;
        this.closingGainMillis = closingGainMillis;
    }

    /**
     * Returns the policy with the given label.
     *
     * @param name the label, such as {@code round-robin}
     * @return the policy, or none if no policy has this label
     */
    public static Option<Policy> of(String name) {
        for (Policy policy : values()) {
            if (policy.label().equals(name)) {
                return Option.some(policy);
            }
        }
        return Option.none();
    }

    /**
     * Returns the policy's name in lower case with hyphens, as it is written in settings.
     *
     * @return the label
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns whether this is a baseline. A baseline has no admission control, ejection, spillover gate or retry
     * budget.
     *
     * @return whether the policy serves only as a comparison
     */
    public boolean isBaseline() {
        return baseline;
    }

    /**
     * Returns the weighted score of a candidate.
     *
     * @param queueWaitMillis the expected queue wait
     * @param prefillMillis the expected time to prefill the prompt tokens that are not cached
     * @param crossRegionMillis the additional latency of another region, zero in this region
     * @return the score in milliseconds, lower is better
     */
    public double score(double queueWaitMillis, double prefillMillis, double crossRegionMillis) {
        return queueWaitWeight * queueWaitMillis
                + prefillWeight * prefillMillis
                + crossRegionWeight * crossRegionMillis;
    }

    /**
     * Returns the smoothed gain above which requests begin to spill over to another region.
     *
     * @return the gain in milliseconds
     */
    public double openingGainMillis() {
        return openingGainMillis;
    }

    /**
     * Returns the smoothed gain at or below which requests stop spilling over to another region.
     *
     * @return the gain in milliseconds
     */
    public double closingGainMillis() {
        return closingGainMillis;
    }
}
