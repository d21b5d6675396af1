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
        Objects.requireNonNull(prefillBacklog, "prefillBacklog");
    }

    /**
     * Returns the work that the backup of a stream brings to the engine that holds it: it only takes up memory.
     *
     * @param kvCacheTokens the tokens of the stream
     * @return the work
     */
    static InFlightWork ofBackup(long kvCacheTokens) {
        return new InFlightWork(0, PrefillBacklog.NONE, kvCacheTokens);
    }

    /**
     * Returns whether nothing is in flight. The backup of a stream is no request, but takes up memory.
     *
     * @return whether there are neither requests nor tokens in memory
     */
    public boolean isNone() {
        return requests == 0 && kvCacheTokens == 0;
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
