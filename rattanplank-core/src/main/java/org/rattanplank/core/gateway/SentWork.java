package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * The work that a host has in flight at a target. Immutable and thread safe.
 *
 * @param requests the requests
 * @param waiting the tokens that are still to be prefilled
 * @param memoryTokens the KV cache tokens that the requests hold, beside shared parts
 */
public record SentWork(int requests, WaitingTokens waiting, long memoryTokens) {
    /** No work. */
    public static final SentWork NONE = new SentWork(0, WaitingTokens.NONE, 0);

    public SentWork {
        Objects.requireNonNull(waiting, "waiting");
    }

    SentWork plus(SentWork other) {
        return new SentWork(requests + other.requests, waiting.plus(other.waiting), memoryTokens + other.memoryTokens);
    }

    SentWork minus(SentWork other) {
        return plus(new SentWork(-other.requests, other.waiting.negated(), -other.memoryTokens));
    }
}
