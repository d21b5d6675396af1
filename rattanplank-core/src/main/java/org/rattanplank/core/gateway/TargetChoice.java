package org.rattanplank.core.gateway;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * A target chosen for a request. Immutable but for the targets, which are confined to their owner's thread.
 *
 * @param target the target
 * @param estimate the service estimate there
 * @param prefillTokens the tokens of the prompt that it would have to prefill
 * @param candidates how many targets could have been chosen
 * @param transferSource the target from which the chosen one may transfer the shared prefix that it lacks
 */
public record TargetChoice(
        GatewayTarget target,
        ServiceEstimate estimate,
        int prefillTokens,
        int candidates,
        Option<TargetEntry> transferSource) {
    public TargetChoice {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(estimate, "estimate");
        Objects.requireNonNull(transferSource, "transferSource");
    }

    /**
     * Returns the expected time to its first event or answer.
     *
     * @return milliseconds
     */
    public double expectedMillis() {
        return estimate.expectedMillis();
    }

    /**
     * Returns the share of that time that is due to other requests.
     *
     * @return milliseconds
     */
    public double queueWaitMillis() {
        return estimate.queueWaitMillis();
    }
}
