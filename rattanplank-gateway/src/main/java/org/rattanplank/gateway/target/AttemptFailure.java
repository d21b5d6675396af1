package org.rattanplank.gateway.target;

/** How an attempt failed, by whether the request may have run. Immutable and thread safe. */
public enum AttemptFailure {
    /** Nothing of the request reached a target. */
    NOT_SENT(false, false),
    /** The request is quarantined: it was not sent, and no other attempt will be either. */
    QUARANTINED(false, false),
    /** A target rejected the request: it did not and will not run it. */
    REFUSED(true, false),
    /** The host that served the request terminates: a target may have run it, and its backup can continue it. */
    INTERRUPTED(true, true),
    /** A target may have run the request, or may still run it. */
    UNKNOWN(true, true);

    private final boolean reachedTarget;
    private final boolean mayHaveRun;

    AttemptFailure(boolean reachedTarget, boolean mayHaveRun) {
        this.reachedTarget = reachedTarget;
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Returns whether the request counts as received by a target.
     *
     * @return whether it does
     */
    public boolean reachedTarget() {
        return reachedTarget;
    }

    /**
     * Returns whether no host sends the request to a target any more.
     *
     * @return whether retrying it is pointless
     */
    public boolean isFinal() {
        return this == QUARANTINED;
    }

    /**
     * Returns whether the request may have run.
     *
     * @return whether it may
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
