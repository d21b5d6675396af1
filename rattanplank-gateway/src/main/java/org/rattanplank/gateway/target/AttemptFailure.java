package org.rattanplank.gateway.target;

/** How an attempt failed, by what may have run. Immutable and thread safe. */
public enum AttemptFailure {
    /** Nothing of the request reached a target. */
    NOT_SENT(false, false),
    /** A target had it and said that it did not and will not run it. */
    REFUSED(true, false),
    /** A target may have run it, or still runs it. */
    UNKNOWN(true, true);

    private final boolean reachedTarget;
    private final boolean mayHaveRun;

    AttemptFailure(boolean reachedTarget, boolean mayHaveRun) {
        this.reachedTarget = reachedTarget;
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Tells whether it counts as an arrival at a target.
     *
     * @return whether it does
     */
    public boolean reachedTarget() {
        return reachedTarget;
    }

    /**
     * Tells whether the request may have run.
     *
     * @return whether it may
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
