package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Objects;

/**
 * What a request asks of a target. Immutable and thread safe.
 *
 * @param promptTokens the tokens of the prompt; zero if it is no generation
 * @param outputTokens the tokens that it is expected to generate
 * @param parts the parts of its prompt, in order; the last is the request's own
 * @param urgency how urgent it is
 * @param remainingMillis how long its whole answer may take; zero if not known
 */
public record Work(int promptTokens, int outputTokens, List<PromptPart> parts, Urgency urgency, long remainingMillis) {
    /** A request that is no generation. */
    public static final Work PLAIN = new Work(0, 0, List.of(), Urgency.FIRST, 0);

    public Work {
        parts = List.copyOf(parts);
        Objects.requireNonNull(urgency, "urgency");
        if (promptTokens < 0 || outputTokens < 0) {
            throw new IllegalArgumentException("negative tokens");
        }
    }

    /**
     * Changes the urgency.
     *
     * @param newUrgency the urgency
     * @return the same work with it
     */
    public Work with(Urgency newUrgency) {
        return new Work(promptTokens, outputTokens, parts, newUrgency, remainingMillis);
    }

    /**
     * Says how long the answer may take.
     *
     * @param millis the time
     * @return the same work with it
     */
    public Work within(long millis) {
        return new Work(promptTokens, outputTokens, parts, urgency, millis);
    }

    /**
     * The parts that other requests share: all but the last.
     *
     * @return the parts
     */
    public List<PromptPart> sharedParts() {
        return parts.size() < 2 ? List.of() : parts.subList(0, parts.size() - 1);
    }

    /**
     * The tokens of the parts that other requests share.
     *
     * @return tokens
     */
    public int sharedTokens() {
        return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * The memory that the request needs for itself, beside what its shared parts need.
     *
     * @return tokens
     */
    public int ownTokens() {
        return Math.max(0, promptTokens - sharedTokens()) + outputTokens;
    }
}
