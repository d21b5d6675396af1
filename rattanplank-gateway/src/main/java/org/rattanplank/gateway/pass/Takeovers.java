package org.rattanplank.gateway.pass;

/** The bounds of asking another target to take a begun stream over from a silent one. Stateless and thread safe. */
final class Takeovers {
    /**
     * How long the other target may take to reject the stream; a rejection comes at once. Afterwards the silent target is
     * left, as two may not work on a stream for long.
     */
    static final long DECISION_MILLIS = 200;

    /** How long after a takeover that was rejected or not needed the next one may begin. */
    static final long PAUSE_MILLIS = 1_000;

    private Takeovers() {}
}
