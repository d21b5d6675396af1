package org.rattanplank.core.route;

import io.vavr.control.Option;

/** What a deployment weighs when it chooses a target. */
public enum Policy {
    /** Weighs cost and the share of requests sent away from home. */
    COST,
    /** Weighs the slowest answers. */
    TAIL,
    /** A baseline: any eligible target at random. */
    RANDOM,
    /** A baseline: the eligible targets in turn. */
    ROUND_ROBIN,
    /** A baseline: the least load as last reported. */
    LEAST_REPORTED,
    /** A baseline: least load as last reported, never outside the home region. */
    HOME_ONLY;

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
}
