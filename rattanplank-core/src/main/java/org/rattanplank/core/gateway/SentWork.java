package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * What one host has under way at a target. Immutable and thread safe.
 *
 * @param requests the requests
 * @param waiting the tokens that are still to be read
 * @param memoryTokens the tokens that the requests hold in memory, beside shared parts
 */
public record SentWork(int requests, WaitingTokens waiting, long memoryTokens) {
    /** Nothing. */
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
