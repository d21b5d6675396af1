package org.rattanplank.core.gateway;

/**
 * The pending prefill of requests without a first event, by urgency: the tokens of their prompts that aren't known to
 * be cached. Immutable and thread safe.
 *
 * @param first the tokens of the most urgent requests
 * @param middle the tokens of the next
 * @param last the tokens of the others
 */
public record PrefillBacklog(long first, long middle, long last) {
    /** No pending prefill. */
    public static final PrefillBacklog NONE = new PrefillBacklog(0, 0, 0);

    /**
     * Returns the pending prefill of one request.
     *
     * @param urgency its urgency
     * @param tokens its tokens
     * @return the pending prefill
     */
    public static PrefillBacklog of(Urgency urgency, long tokens) {
        return switch (urgency) {
            case FIRST -> new PrefillBacklog(tokens, 0, 0);
            case MIDDLE -> new PrefillBacklog(0, tokens, 0);
            case LAST -> new PrefillBacklog(0, 0, tokens);
        };
    }

    /**
     * Returns the tokens that are prefilled before a further request of an urgency.
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

    PrefillBacklog plus(PrefillBacklog other) {
        return new PrefillBacklog(first + other.first, middle + other.middle, last + other.last);
    }

    PrefillBacklog negated() {
        return new PrefillBacklog(-first, -middle, -last);
    }
}
