package org.rattanplank.standins.target;

import java.util.Locale;

/** The state of an execution. */
enum ExecutionState {
    /** In progress. */
    RUNNING,
    /** Completed, whether or not the response was delivered. */
    WHOLE,
    /** Cancelled before it completed. */
    CANCELLED;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
