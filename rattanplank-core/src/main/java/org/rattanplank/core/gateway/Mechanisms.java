package org.rattanplank.core.gateway;

import java.util.Set;

/**
 * The mechanisms in use. Immutable and thread safe.
 *
 * @param disabled the mechanisms that are switched off
 */
public record Mechanisms(Set<Mechanism> disabled) {
    /** All mechanisms, the default. */
    public static final Mechanisms ALL = new Mechanisms(Set.of());

    public Mechanisms {
        disabled = Set.copyOf(disabled);
    }

    /**
     * Returns whether a mechanism is in use.
     *
     * @param mechanism the mechanism
     * @return whether it is
     */
    public boolean isEnabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }
}
