package org.rattanplank.core.gateway;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * A target chosen for a request. Immutable but for the targets, which are confined to their owner's thread.
 *
 * @param target the target
 * @param outlook the service estimate there
 * @param readTokens the tokens of the prompt that it would have to prefill
 * @param candidates how many targets could have been chosen
 * @param source the target from which the chosen one may transfer the shared prefix that it lacks
 */
public record Choice(
        GatewayTarget target, Outlook outlook, int readTokens, int candidates, Option<GatewayTarget> source) {
    public Choice {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(outlook, "outlook");
        Objects.requireNonNull(source, "source");
    }

    /**
     * Returns the expected time to its first event or answer.
     *
     * @return milliseconds
     */
    public double expectedMillis() {
        return outlook.expectedMillis();
    }

    /**
     * Returns the part of that time that is due to other requests.
     *
     * @return milliseconds
     */
    public double waitMillis() {
        return outlook.waitMillis();
    }
}
