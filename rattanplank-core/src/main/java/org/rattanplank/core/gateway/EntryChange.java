package org.rattanplank.core.gateway;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * The result of applying a target's entry. Immutable and thread safe.
 *
 * @param changed the target that is new or newly leaving, or none
 * @param terminated the earlier incarnation that has terminated, or none
 */
public record EntryChange(Option<GatewayTarget> changed, Option<GatewayTarget> terminated) {
    /** The entry changed neither. */
    static final EntryChange NONE = new EntryChange(Option.none(), Option.none());

    public EntryChange {
        Objects.requireNonNull(changed, "changed");
        Objects.requireNonNull(terminated, "ended");
    }

    static EntryChange of(GatewayTarget changed) {
        return new EntryChange(Option.some(changed), Option.none());
    }
}
