package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * The work that a host has in flight at a target. Immutable and thread safe.
 *
 * @param requests the requests
 * @param prefillBacklog the tokens that are still to be prefilled
 * @param kvCacheTokens the KV cache tokens that the requests hold, beside shared parts
 */
public record InFlightWork(int requests, PrefillBacklog prefillBacklog, long kvCacheTokens) {
    /** No work. */
    public static final InFlightWork NONE = new InFlightWork(0, PrefillBacklog.NONE, 0);

    public InFlightWork {
        Objects.requireNonNull(prefillBacklog, "waiting");
    }

    InFlightWork plus(InFlightWork other) {
        return new InFlightWork(
                requests + other.requests,
                prefillBacklog.plus(other.prefillBacklog),
                kvCacheTokens + other.kvCacheTokens);
    }

    InFlightWork minus(InFlightWork other) {
        return plus(new InFlightWork(-other.requests, other.prefillBacklog.negated(), -other.kvCacheTokens));
    }
}
