package org.rattanplank.core.gateway;

import java.util.Set;

/**
 * Which mechanisms are in use. Immutable and thread safe.
 *
 * @param without those that are switched off
 */
public record Mechanisms(Set<Mechanism> without) {
    /** All of them, as is usual. */
    public static final Mechanisms ALL = new Mechanisms(Set.of());

    public Mechanisms {
        without = Set.copyOf(without);
    }

    /**
     * Tells whether one is in use.
     *
     * @param mechanism the mechanism
     * @return whether it is
     */
    public boolean uses(Mechanism mechanism) {
        return !without.contains(mechanism);
    }
}
