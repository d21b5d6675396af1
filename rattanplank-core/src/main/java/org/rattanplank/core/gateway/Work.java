package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Objects;

/**
 * The work that a request brings to a target. Immutable and thread safe.
 *
 * @param promptTokens the tokens of the prompt; zero if the request generates no tokens
 * @param outputTokens the tokens that it is expected to generate
 * @param promptParts the parts of its prompt, in order; the last is the request's own
 * @param urgency its urgency
 * @param remainingMillis the time left for its whole answer; zero if not known
 */
public record Work(
        int promptTokens, int outputTokens, List<PromptPart> promptParts, Urgency urgency, long remainingMillis) {
    /** A request that generates no tokens. */
    public static final Work PLAIN = new Work(0, 0, List.of(), Urgency.FIRST, 0);

    public Work {
        promptParts = List.copyOf(promptParts);
        Objects.requireNonNull(urgency, "urgency");
        if (promptTokens < 0 || outputTokens < 0) {
            throw new IllegalArgumentException("prompt or output tokens are negative");
        }
    }

    /**
     * Returns the same work with another urgency.
     *
     * @param newUrgency the urgency
     * @return the work
     */
    public Work withUrgency(Urgency newUrgency) {
        return new Work(promptTokens, outputTokens, promptParts, newUrgency, remainingMillis);
    }

    /**
     * Returns the same work with another remaining time.
     *
     * @param millis the time left for the answer
     * @return the work
     */
    public Work withRemainingMillis(long millis) {
        return new Work(promptTokens, outputTokens, promptParts, urgency, millis);
    }

    /**
     * Returns the work that is left after some of the tokens were generated.
     *
     * @param generatedTokens the tokens that the caller has received
     * @return the work
     */
    public Work afterGenerating(int generatedTokens) {
        return new Work(
                promptTokens, Math.max(0, outputTokens - generatedTokens), promptParts, urgency, remainingMillis);
    }

    /**
     * Returns the tokens that the request holds in KV cache when it ends.
     *
     * @return tokens
     */
    public long totalTokens() {
        return (long) promptTokens + outputTokens;
    }

    /**
     * Returns the parts that other requests may share: all but the last.
     *
     * @return the parts
     */
    public List<PromptPart> sharedParts() {
        return promptParts.size() < 2 ? List.of() : promptParts.subList(0, promptParts.size() - 1);
    }

    /**
     * Returns the tokens of the shared parts.
     *
     * @return tokens
     */
    public int sharedTokens() {
        return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * Returns the KV cache tokens that the request needs for itself, beside its shared parts.
     *
     * @return tokens
     */
    public int exclusiveTokens() {
        return Math.max(0, promptTokens - sharedTokens()) + outputTokens;
    }
}
