package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * A target chosen for a request. Immutable but for the target, which is confined to its owner's thread.
 *
 * @param target the target
 * @param expectedMillis the time expected to its first event or answer
 * @param waitMillis the part of it that is due to other requests there
 * @param candidates how many targets could have been chosen
 */
public record Choice(GatewayTarget target, double expectedMillis, double waitMillis, int candidates) {
    public Choice {
        Objects.requireNonNull(target, "target");
    }
}
