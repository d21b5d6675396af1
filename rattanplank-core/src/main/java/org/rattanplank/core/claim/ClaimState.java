package org.rattanplank.core.claim;

import java.util.Locale;

/**
 * State of a claim. When two states of one request are merged, a settled state stays, and otherwise the later constant
 * wins, so that a known result replaces an assumed one.
 */
enum ClaimState {
    /** A request holds the key and may run its call. */
    RUNNING(false),
    /** The call may have run, and no process that knows its result is left. */
    UNKNOWN(false),
    /** The call of the request that held the key definitely did not run, so another request may claim the key. */
    FREE(true),
    /** The call ran, and its answer is stored. */
    ANSWERED(true),
    /** The host that ran the call reported that it may have run, or its answer is not stored. */
    LOST(true);

    private final boolean settled;

    ClaimState(boolean settled) {
        this.settled = settled;
    }

    /** Returns whether the runner itself reported this state, so that it never changes again. */
    boolean isSettled() {
        return settled;
    }

    /** Returns whether a retry with the key can be answered from this state alone. */
    boolean isFinal() {
        return this == ANSWERED || this == LOST || this == UNKNOWN;
    }

    /** Returns whether another request may claim the key. */
    boolean isFree() {
        return this == FREE;
    }

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    static ClaimState of(String label) {
        for (ClaimState state : values()) {
            if (state.label().equals(label)) {
                return state;
            }
        }
        // A state of a later version: the only safe interpretation is that the call may have run.
        return UNKNOWN;
    }
}
