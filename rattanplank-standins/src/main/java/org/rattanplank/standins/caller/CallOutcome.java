package org.rattanplank.standins.caller;

/** What a caller can tell of its call once it has ended. */
public enum CallOutcome {
    /** A whole answer came. */
    ANSWERED(true),
    /** The system says that the call did not run. */
    NOT_RUN(true),
    /** The system says that the call may have run. */
    UNKNOWN(true),
    /** The connection broke; a caller treats this as unknown. */
    BROKEN(true),
    /** The connection was refused, so the call was never sent. */
    UNREACHED(true),
    /** Nothing came in time. */
    LOST(false);

    private final boolean ended;

    CallOutcome(boolean ended) {
        this.ended = ended;
    }

    /**
     * Tells whether the caller knows that the call has ended.
     *
     * @return false if the caller still waits for an answer that is overdue
     */
    public boolean isEnded() {
        return ended;
    }

    /**
     * Finds the outcome that a response states.
     *
     * @param status the status
     * @param label the value of the outcome's header, or empty
     * @return the outcome
     */
    public static CallOutcome of(int status, String label) {
        return switch (label) {
            case "answered" -> ANSWERED;
            case "not run" -> NOT_RUN;
            case "unknown" -> UNKNOWN;
            default -> status == 200 ? ANSWERED : UNKNOWN;
        };
    }
}
