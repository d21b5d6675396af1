package org.rattanplank.gateway.store;

/**
 * Tells since which revisions a copy of the store knows every removal.
 *
 * <p>A listing shows which items are there, not which have gone: of the items that were both added and removed between the
 * copy's revision and the listing's, the copy knows nothing. That is its newest gap. Immutable and thread safe.
 * Invariant: all removals after {@code fromRevision} are known but for those in the gap, of which only those of items that
 * were there at its start are.
 *
 * @param fromRevision the revision before which removals are not known
 * @param gapStartRevision the revision at which the newest gap starts
 * @param gapEndRevision the revision at which it ends, zero if there is none
 */
record RemovalHistory(long fromRevision, long gapStartRevision, long gapEndRevision) {
    /** The history of a copy that knows nothing. */
    static final RemovalHistory NONE = new RemovalHistory(0, 0, 0);

    RemovalHistory {
        if (gapStartRevision > gapEndRevision) {
            throw new IllegalArgumentException(
                    "gap starts at " + gapStartRevision + " after its end " + gapEndRevision);
        }
    }

    /** Adds a newer gap; only the newest is kept, as hosts are rarely further behind. */
    RemovalHistory withGap(long startRevision, long endRevision) {
        return endRevision <= startRevision
                ? this
                : new RemovalHistory(Math.max(fromRevision, gapEndRevision), startRevision, endRevision);
    }

    /**
     * Returns whether the copy knows all removals of items that another one may have.
     *
     * @param revision the revision up to which the other copy is complete
     * @param newestRevision the revision of its newest item
     */
    boolean coversSince(long revision, long newestRevision) {
        return revision >= gapEndRevision
                || revision >= fromRevision && Math.max(revision, newestRevision) <= gapStartRevision;
    }

    /**
     * Returns since when another copy knows all removals that it is told the changes since a revision.
     *
     * @param revision the revision
     * @return the revision itself, or the end of a gap behind it
     */
    long completeSince(long revision) {
        return Math.max(revision, gapEndRevision);
    }
}
