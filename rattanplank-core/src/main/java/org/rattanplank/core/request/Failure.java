package org.rattanplank.core.request;

import java.util.Objects;

/**
 * The reason for which a request or an attempt ended without an answer. Immutable and thread safe.
 *
 * @param step the step at which the failure occurred
 * @param peer the host, target or service on the other side, or empty
 * @param reason a short sentence
 */
public record Failure(Step step, String peer, String reason) {
    public Failure {
        Objects.requireNonNull(step, "step");
        peer = Objects.requireNonNullElse(peer, "");
        reason = Objects.requireNonNullElse(reason, "");
    }

    /**
     * Creates a failure.
     *
     * @param step the step at which the failure occurred
     * @param peer the other side, or empty
     * @param reason a short sentence
     * @return the failure
     */
    public static Failure of(Step step, String peer, String reason) {
        return new Failure(step, peer, reason);
    }
}
