package org.rattanplank.core.claim;

/** Phase of a host with regard to the latest view that it knows. */
enum ViewPhase {
    /** Not a member; the known view, if any, belongs to other hosts. */
    OUTSIDE(false),
    /** A member that orders and replicates claims. */
    ACTIVE(true),
    /** A member that has stopped the view in preparation for the next one. */
    STOPPED(false),
    /** A member that was paused and does not know whether it was removed meanwhile. */
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
