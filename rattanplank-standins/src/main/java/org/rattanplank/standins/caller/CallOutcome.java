package org.rattanplank.standins.caller;

/** The outcome of a call as the caller observes it. */
public enum CallOutcome {
    /** A response with the call's result arrived. */
    ANSWERED(true),
    /** The system reports that the call was not executed. */
    NOT_RUN(true),
    /** The system reports that the call may have been executed. */
    UNKNOWN(true),
    /** The connection failed; a caller treats this as unknown. */
    BROKEN(true),
    /** The connection was refused, so the call was never sent. */
    UNREACHED(true),
    /** No response arrived in time. */
    LOST(false);

    private final boolean ended;

    CallOutcome(boolean ended) {
        this.ended = ended;
    }

    /**
     * Returns whether the caller knows that the call has ended.
     *
     * @return false if the caller is still waiting for a response that is overdue
     */
    public boolean isEnded() {
        return ended;
    }

    /**
     * Returns the outcome that a response states.
     *
     * @param status the HTTP status
     * @param label the value of the outcome header, or empty
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
