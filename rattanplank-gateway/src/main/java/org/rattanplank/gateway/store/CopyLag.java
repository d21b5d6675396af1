package org.rattanplank.gateway.store;

/**
 * Measures for how long a host's local copy of the store has lacked a revision that it knows to exist.
 *
 * <p>Invariant: the lag is zero while the copy is complete up to the revision that was awaited last and no newer one has been
 * reported since. Confined to the event loop.
 */
public final class CopyLag {
    private static final long NONE = -1;

    private long awaitedRevision;
    private long awaitedSinceMillis = NONE;
    private long newestRevision;
    private long newestAtMillis;

    /**
     * Records the revision up to which another host's copy is complete.
     *
     * @param revision the revision
     * @param nowMillis the time
     */
    public void heard(long revision, long nowMillis) {
        if (revision <= newestRevision) {
            return;
        }
        newestRevision = revision;
        newestAtMillis = nowMillis;
        if (awaitedSinceMillis == NONE) {
            await();
        }
    }

    /**
     * Returns for how long the copy has lacked a revision.
     *
     * @param copyRevision the revision up to which the copy is complete
     * @param nowMillis the time
     * @return milliseconds, zero if it lacks none
     */
    public long millis(long copyRevision, long nowMillis) {
        if (awaitedSinceMillis != NONE && copyRevision >= awaitedRevision) {
            awaitedSinceMillis = NONE;
            if (copyRevision < newestRevision) {
                await();
            }
        }
        return awaitedSinceMillis == NONE ? 0 : nowMillis - awaitedSinceMillis;
    }

    /**
     * Returns the highest revision up to which another host's copy is complete.
     *
     * @return the revision, zero if none was reported
     */
    public long newestRevision() {
        return newestRevision;
    }

    private void await() {
        awaitedRevision = newestRevision;
        awaitedSinceMillis = newestAtMillis;
    }
}
