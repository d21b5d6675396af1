package org.rattanplank.core.gateway;

/**
 * The tokens of prompts that aren't known to be cached, of requests without a first event, by urgency. Immutable and
 * thread safe.
 *
 * @param first of the most urgent requests
 * @param middle of the next
 * @param last of the others
 */
public record WaitingTokens(long first, long middle, long last) {
    /** None. */
    public static final WaitingTokens NONE = new WaitingTokens(0, 0, 0);

    /**
     * Makes the tokens of one request.
     *
     * @param urgency its urgency
     * @param tokens its tokens
     * @return the tokens
     */
    public static WaitingTokens of(Urgency urgency, long tokens) {
        return switch (urgency) {
            case FIRST -> new WaitingTokens(tokens, 0, 0);
            case MIDDLE -> new WaitingTokens(0, tokens, 0);
            case LAST -> new WaitingTokens(0, 0, tokens);
        };
    }

    /**
     * The tokens that are read before a further request of an urgency.
     *
     * @param urgency its urgency
     * @return the tokens of requests that are as urgent or more
     */
    public long ahead(Urgency urgency) {
        return switch (urgency) {
            case FIRST -> first;
            case MIDDLE -> first + middle;
            case LAST -> first + middle + last;
        };
    }

    WaitingTokens plus(WaitingTokens other) {
        return new WaitingTokens(first + other.first, middle + other.middle, last + other.last);
    }

    WaitingTokens negated() {
        return new WaitingTokens(-first, -middle, -last);
    }
}
