package org.rattanplank.core.gateway;

import java.util.Set;

/**
 * The mechanisms in use. Immutable and thread safe.
 *
 * @param without the mechanisms that are switched off
 */
public record Mechanisms(Set<Mechanism> without) {
    /** All mechanisms, the default. */
    public static final Mechanisms ALL = new Mechanisms(Set.of());

    public Mechanisms {
        without = Set.copyOf(without);
    }

    /**
     * Returns whether a mechanism is in use.
     *
     * @param mechanism the mechanism
     * @return whether it is
     */
    public boolean uses(Mechanism mechanism) {
        return !without.contains(mechanism);
    }
}
