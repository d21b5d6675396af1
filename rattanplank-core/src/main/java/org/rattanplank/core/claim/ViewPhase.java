package org.rattanplank.core.claim;

/** What a host may do in the view that it knows. */
enum ViewPhase {
    /** Not a member; the known view, if any, is one that others form. */
    OUTSIDE(false),
    /** A member that orders and copies claims. */
    ACTIVE(true),
    /** A member that has stopped the view for the sake of the next one. */
    STOPPED(false),
    /** A member that was paused, and does not know whether the view went on without it. */
    STALE(false);

    private final boolean canClaim;

    ViewPhase(boolean claiming) {
        this.canClaim = claiming;
    }

    boolean canClaim() {
        return canClaim;
    }

    boolean isMember() {
        return this != OUTSIDE;
    }
}
