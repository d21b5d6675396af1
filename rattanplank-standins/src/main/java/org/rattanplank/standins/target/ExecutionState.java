package org.rattanplank.standins.target;

import java.util.Locale;

/** How far a run has come. */
enum ExecutionState {
    /** It runs. */
    RUNNING,
    /** It ran wholly, whether or not anybody got the answer. */
    WHOLE,
    /** It was cancelled on the way. */
    CANCELLED;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
