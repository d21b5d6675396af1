package org.rattanplank.gateway.peer;

import io.vavr.control.Option;

/**
 * How far the store was replicated to another host.
 *
 * <p>Invariant: the revision up to which everything was sent is never above the one up to which small items were. Confined
 * to the event loop.
 */
final class ReceiverProgress {
    private final StoreReceiver receiver;
    private long sentRevision;
    private long sentSmallRevision;
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

    /** The revision up to which everything was sent to it, or which it reported itself. */
    long sentRevision() {
        return sentRevision;
    }

    /** The revision up to which all small items were sent to it. */
    long sentSmallRevision() {
        return sentSmallRevision;
    }

    /** Whether it has reported its state. */
    boolean hasReported() {
        return receiver.state().sentAtMillis() > 0;
    }

    /** Whether it reads parts and changes; a host of an earlier version reads whole items alone. */
    boolean readsParts() {
        return receiver.state().knownRevision() != PeerFrame.State.UNTOLD;
    }

    /** Whether it reads packed items: one that tells its newest revision does. */
    boolean readsPacked() {
        return receiver.state().newestRevision() > 0;
    }

    /** When it was sent something last. */
    long sentAtMillis() {
        return sentAtMillis;
    }

    Option<StoreTransfer> transfer() {
        return transfer;
    }

    /** Takes note of its last report and of this host's revision. */
    void update(long ownRevision, long nowMillis) {
        long known = receiver.state().knownRevision();
        sentRevision = Math.max(sentRevision, known);
        sentSmallRevision = Math.max(sentSmallRevision, sentRevision);
        if (known >= expectedRevision) {
            expectedRevision = ownRevision;
            expectedAtMillis = nowMillis;
        }
    }

    /**
     * Whether it has not reached for some time a revision that this host had then. One that stays a little behind while
     * changes go on is not counted.
     */
    boolean isBehindFor(long millis, long nowMillis) {
        return receiver.state().knownRevision() < expectedRevision
                && transfer.isEmpty()
                && nowMillis - Math.max(expectedAtMillis, sentAtMillis) > millis;
    }

    /** Goes back to the revision that it reported, as it did not take what was sent. */
    void rewindToReported() {
        sentRevision = Math.max(0, receiver.state().knownRevision());
        sentSmallRevision = sentRevision;
    }

    void sentSmall(long revision, long nowMillis) {
        sentSmallRevision = Math.max(sentSmallRevision, revision);
        sentAtMillis = nowMillis;
    }

    void sentAll(long revision, long nowMillis) {
        sentRevision = Math.max(sentRevision, revision);
        sentSmall(revision, nowMillis);
        transfer = Option.none();
    }

    void began(StoreTransfer newTransfer, long nowMillis) {
        transfer = Option.some(newTransfer);
        sentAtMillis = nowMillis;
    }
}
