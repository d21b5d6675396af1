package org.rattanplank.core.gateway;

/**
 * What one host has under way at a target. Immutable and thread safe.
 *
 * @param requests the requests
 * @param waitingTokens the tokens of prompts that aren't known to be cached, of requests without a first event
 * @param memoryTokens the tokens that the requests hold in memory, beside shared parts
 */
public record SentWork(int requests, long waitingTokens, long memoryTokens) {
    /** Nothing. */
    public static final SentWork NONE = new SentWork(0, 0, 0);

    SentWork plus(SentWork other) {
        return new SentWork(
                requests + other.requests, waitingTokens + other.waitingTokens, memoryTokens + other.memoryTokens);
    }
}
