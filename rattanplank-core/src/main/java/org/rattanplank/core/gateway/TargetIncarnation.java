package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * One incarnation of a target, from its start to its termination. A target that restarts may keep its identifier; it
 * then holds no earlier state, and only its start time distinguishes the two incarnations. Immutable and thread safe.
 *
 * @param id the target's identifier
 * @param startedAtMillis the start time by its own clock, in milliseconds since 1970; 0 if not reported
 */
public record TargetIncarnation(String id, long startedAtMillis) {
    private static final char SEPARATOR = '@';

    public TargetIncarnation {
        Objects.requireNonNull(id, "id");
        if (startedAtMillis < 0) {
            throw new IllegalArgumentException("target start time is before 1970");
        }
    }

    /**
     * Returns whether this incarnation started before another one of the same target. Of two incarnations the one that
     * started later is alive: messages about the other one were delayed. An incarnation without a start time is older
     * than any with one.
     *
     * @param other the other incarnation
     * @return whether it did
     */
    public boolean isBefore(TargetIncarnation other) {
        return startedAtMillis < other.startedAtMillis;
    }

    /**
     * Returns the name of the incarnation in messages between hosts and in log lines.
     *
     * @return the identifier, followed by the start time if it is known
     */
    public String text() {
        return startedAtMillis == 0 ? id : id + SEPARATOR + startedAtMillis;
    }

    /** Returns the identifier of the target in a text that ends with a start time. */
    static String idFromText(String text) {
        return text.substring(0, Math.max(0, text.lastIndexOf(SEPARATOR)));
    }
}
