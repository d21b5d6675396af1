package org.rattanplank.gateway.peer;

import io.vavr.control.Option;
import org.rattanplank.gateway.store.StoreCopy;
import org.rattanplank.gateway.store.StoreRevision;

/**
 * Tracks how far the store is replicated to one other host.
 *
 * <p>Invariant: the revision up to which everything was sent is never above the one up to which small items were. Confined
 * to the event loop.
 */
final class ReceiverProgress {
    private final StoreReceiver receiver;
    private long era;
    private long sentRevision;
    private long sentSmallItemsRevision;
    private long expectedRevision;
    private long expectedAtMillis;
    private long sentAtMillis;
    private Option<StoreTransfer> transfer = Option.none();

    ReceiverProgress(StoreReceiver receiver, long nowMillis) {
        this.receiver = receiver;
        expectedAtMillis = nowMillis;
        sentAtMillis = nowMillis;
    }

    StoreReceiver receiver() {
        return receiver;
    }

    /** Returns the revision up to which everything was sent to the host, or which it reported itself. */
    long sentRevision() {
        return sentRevision;
    }

    /** Returns the revision up to which all small items were sent to the host. */
    long sentSmallItemsRevision() {
        return sentSmallItemsRevision;
    }

    /** Returns whether the host has reported its state. */
    boolean hasReported() {
        return receiver.state().sentAtMillis() > 0;
    }

    /** Returns whether the host accepts fragments and changes; a host of an earlier version accepts only full listings. */
    boolean supportsFragments() {
        return receiver.state().knownRevision() != PeerFrame.State.UNREPORTED;
    }

    boolean supportsEras() {
        return receiver.state().supportsStoreEras();
    }

    private long knownRevision() {
        return receiver.state().knownRevisionIn(era);
    }

    /** Returns whether the host accepts compressed items; hosts that report their newest revision do. */
    boolean supportsCompression() {
        return receiver.state().newestRevision() > 0;
    }

    /**
     * Returns since which revision the host is sent all changes. It is zero, so that it is sent all items, if removals since
     * may be unknown here and the host can't find them by the keys of all items: it would go on using targets that have left.
     */
    long baseRevision(StoreCopy copy) {
        return needsKeys(copy) && !receiver.state().supportsKeyLists() ? 0 : sentRevision;
    }

    /** Returns whether the host needs the keys of all items, as removals since its revision may be unknown here. */
    boolean needsKeys(StoreCopy copy) {
        return !copy.knowsRemovalsSince(sentRevision, receiver.state().newestRevisionIn(era));
    }

    /** Returns when something was last sent to the host. */
    long sentAtMillis() {
        return sentAtMillis;
    }

    Option<StoreTransfer> transfer() {
        return transfer;
    }

    /** Updates the progress from the host's last state report and from this host's revision. */
    void update(long ownRevision, long nowMillis) {
        era = StoreRevision.era(ownRevision);
        long known = knownRevision();
        sentRevision = Math.max(sentRevision, known);
        sentSmallItemsRevision = Math.max(sentSmallItemsRevision, sentRevision);
        if (known >= expectedRevision) {
            expectedRevision = ownRevision;
            expectedAtMillis = nowMillis;
        }
    }

    /**
     * Returns whether the host has failed for some time to reach a revision that this host had at its start. A host that
     * lags slightly during continuous changes does not count as lagging.
     */
    boolean isBehindFor(long millis, long nowMillis) {
        return knownRevision() < expectedRevision
                && transfer.isEmpty()
                && nowMillis - Math.max(expectedAtMillis, sentAtMillis) > millis;
    }

    /** Resets the progress to the revision that the host reported, since it did not apply what was sent. */
    void rewindToReported() {
        sentRevision = Math.max(0, knownRevision());
        sentSmallItemsRevision = sentRevision;
    }

    void recordSmallItemsSent(long revision, long nowMillis) {
        sentSmallItemsRevision = Math.max(sentSmallItemsRevision, revision);
        sentAtMillis = nowMillis;
    }

    void recordAllSent(long revision, long nowMillis) {
        sentRevision = Math.max(sentRevision, revision);
        recordSmallItemsSent(revision, nowMillis);
        transfer = Option.none();
    }

    void transferStarted(StoreTransfer newTransfer, long nowMillis) {
        transfer = Option.some(newTransfer);
        sentAtMillis = nowMillis;
    }
}
