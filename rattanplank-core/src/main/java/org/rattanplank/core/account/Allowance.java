package org.rattanplank.core.account;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * How much a client account may use over all hosts: a rate, and a burst beyond it. Immutable and thread safe.
 *
 * @param unit what is counted
 * @param plainTokens the tokens that a request counts which states none
 * @param unitsPerSecond the rate; zero for no limit
 * @param burstUnits the burst
 */
public record Allowance(ChargeUnit unit, long plainTokens, double unitsPerSecond, double burstUnits) {
    /** No limit. */
    public static final Allowance UNLIMITED = new Allowance(ChargeUnit.REQUESTS, 0, 0, 0);

    /** Larger limits than this are none that a fleet could reach, and would lose precision. */
    public static final double MAX_UNITS = 1e12;

    public Allowance {
        Objects.requireNonNull(unit, "unit");
        if (!(unitsPerSecond >= 0 && unitsPerSecond <= MAX_UNITS)) {
            throw new IllegalArgumentException("the rate of an allowance is not between 0 and " + MAX_UNITS);
        }
        if (!(burstUnits >= 0 && burstUnits <= MAX_UNITS)) {
            throw new IllegalArgumentException("the burst of an allowance is not between 0 and " + MAX_UNITS);
        }
        if (plainTokens < 0) {
            throw new IllegalArgumentException("the tokens of a plain request are negative");
        }
    }

    /**
     * Returns whether there is a limit.
     *
     * @return whether the account may use only so much
     */
    public boolean isLimited() {
        return unitsPerSecond > 0;
    }

    /**
     * Returns how much a request counts.
     *
     * @param tokens the tokens of its prompt and the most that it may generate, if it states them
     * @return units
     */
    public long charge(Option<Long> tokens) {
        return unit.charge(tokens, plainTokens);
    }
}
