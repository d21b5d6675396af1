package org.rattanplank.core.route;

import io.vavr.control.Option;

/** What a deployment weighs when it chooses a target. */
public enum Policy {
    /** Weighs cost and the share of requests sent away from home. */
    COST(1, 1.5, 2, 1_500, 300),
    /** Weighs the slowest answers. */
    TAIL(4, 1, 1, 0, -500),
    /** A baseline: any eligible target at random. */
    RANDOM,
    /** A baseline: the eligible targets in turn. */
    ROUND_ROBIN,
    /** A baseline: the least load as last reported. */
    LEAST_REPORTED,
    /** A baseline: least load as last reported, never outside the home region. */
    HOME_ONLY;

    private final boolean baseline;
    private final double waitWeight;
    private final double coldWeight;
    private final double crossingWeight;
    private final double openingGainMillis;
    private final double closingGainMillis;

    Policy() {
        this(true, 1, 1, 1, 0, 0);
    }

    Policy(
            double waitWeight,
            double coldWeight,
            double crossingWeight,
            double openingGainMillis,
            double closingGainMillis) {
        this(false, waitWeight, coldWeight, crossingWeight, openingGainMillis, closingGainMillis);
    }

    Policy(
            boolean baseline,
            double waitWeight,
            double coldWeight,
            double crossingWeight,
            double openingGainMillis,
            double closingGainMillis) {
        this.baseline = baseline;
        this.waitWeight = waitWeight;
        this.coldWeight = coldWeight;
        this.crossingWeight = crossingWeight;
        this.openingGainMillis = openingGainMillis;
        this.closingGainMillis = closingGainMillis;
    }

    /**
     * Finds a policy by its name in lower case with hyphens.
     *
     * @param name the name, such as {@code round-robin}
     * @return the policy, or none if no policy has this name
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
     * The name in lower case with hyphens, as settings write it.
     *
     * @return the name
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /**
     * Tells whether this is a baseline, which neither admits, ejects, spills by gain nor keeps a retry budget.
     *
     * @return whether it is only there to be compared with
     */
    public boolean isBaseline() {
        return baseline;
    }

    /**
     * Weighs the parts of a score.
     *
     * @param waitMillis the expected wait
     * @param coldMillis the expected time to read what is not cached
     * @param crossingMillis the time of crossing between regions, zero in the own one
     * @return the score in milliseconds, lower is better
     */
    public double score(double waitMillis, double coldMillis, double crossingMillis) {
        return waitWeight * waitMillis + coldWeight * coldMillis + crossingWeight * crossingMillis;
    }

    /**
     * The smoothed gain above which requests begin to leave the region.
     *
     * @return the gain in milliseconds
     */
    public double openingGainMillis() {
        return openingGainMillis;
    }

    /**
     * The smoothed gain below which requests no longer leave the region.
     *
     * @return the gain in milliseconds
     */
    public double closingGainMillis() {
        return closingGainMillis;
    }
}
