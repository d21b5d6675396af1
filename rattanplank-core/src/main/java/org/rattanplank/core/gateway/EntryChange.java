package org.rattanplank.core.gateway;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * What an entry changed of what is believed of a target. Immutable and thread safe.
 *
 * @param changed the target that is new or newly leaves, or none
 * @param ended the earlier run that is over, or none
 */
public record EntryChange(Option<GatewayTarget> changed, Option<GatewayTarget> ended) {
    /** Nothing worth a word. */
    static final EntryChange NONE = new EntryChange(Option.none(), Option.none());

    public EntryChange {
        Objects.requireNonNull(changed, "changed");
        Objects.requireNonNull(ended, "ended");
    }

    static EntryChange of(GatewayTarget changed) {
        return new EntryChange(Option.some(changed), Option.none());
    }
}
