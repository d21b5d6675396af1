package org.rattanplank.core.claim;

import java.util.Locale;

/** How far a claim is; what surely is known wins over what is merely feared. */
enum ClaimState {
    /** A request holds the key and may run its call. */
    RUNNING(false),
    /** The call may have run, and nobody who would know is left. */
    UNKNOWN(false),
    /** The call of the request that held the key surely did not run, so another may hold it. */
    FREE(true),
    /** The call ran, and its answer is kept. */
    ANSWERED(true),
    /** The call's own host said that it may have run, or its answer is not kept. */
    LOST(true);

    private final boolean settled;

    ClaimState(boolean settled) {
        this.settled = settled;
    }

    /** Whether the runner itself said so, which nothing later can change. */
    boolean isSettled() {
        return settled;
    }

    /** Whether a repeat of the key gets an outcome from this state alone. */
    boolean isFinal() {
        return this == ANSWERED || this == LOST || this == UNKNOWN;
    }

    /** Whether the key may be given to another request. */
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
        // A state of a later version: the only safe reading is that the call may have run.
        return UNKNOWN;
    }
}
