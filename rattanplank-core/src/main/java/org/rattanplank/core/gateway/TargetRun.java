package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * One run of a target, from its start to its end. A target that starts again may do so under its identifier; it then
 * holds nothing of before, and only the time of its start tells the two runs apart. Immutable and thread safe.
 *
 * @param id the target's identifier
 * @param bornMillis the time of its start by its own clock, in milliseconds since 1970; 0 if it doesn't say
 */
public record TargetRun(String id, long bornMillis) {
    private static final char SEPARATOR = '@';

    public TargetRun {
        Objects.requireNonNull(id, "id");
        if (bornMillis < 0) {
            throw new IllegalArgumentException("a target can't have started before 1970");
        }
    }

    /**
     * Tells whether this run began before another one of the same target. Between two runs the one that began later is
     * the one that lives: what was written of the other came late. A run that doesn't say when it began is older than
     * any that does.
     *
     * @param other the other run
     * @return whether it did
     */
    public boolean isBefore(TargetRun other) {
        return bornMillis < other.bornMillis;
    }

    /**
     * How the run is named in messages between hosts and in log lines.
     *
     * @return the identifier, followed by the time of the start if it is known
     */
    public String text() {
        return bornMillis == 0 ? id : id + SEPARATOR + bornMillis;
    }

    /** The identifier of the target in a text that ends with the time of a start. */
    static String idFromText(String text) {
        return text.substring(0, Math.max(0, text.lastIndexOf(SEPARATOR)));
    }
}
