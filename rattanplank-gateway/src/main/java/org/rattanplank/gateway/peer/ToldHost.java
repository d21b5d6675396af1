package org.rattanplank.gateway.peer;

import io.vavr.control.Option;

/**
 * How far another host was told of the store.
 *
 * <p>Invariant: what it was told of all changes is never ahead of what it was told of small ones. Confined to the event
 * loop.
 */
final class ToldHost {
    private final StoreReceiver receiver;
    private long toldRevision;
    private long toldSmallRevision;
    private long goalRevision;
    private long goalAtMillis;
    private long sentAtMillis;
    private Option<StoreTransfer> transfer = Option.none();

    ToldHost(StoreReceiver receiver, long nowMillis) {
        this.receiver = receiver;
        goalAtMillis = nowMillis;
        sentAtMillis = nowMillis;
    }

    StoreReceiver receiver() {
        return receiver;
    }

    /** The revision up to which it was told everything, or said that it knows it. */
    long toldRevision() {
        return toldRevision;
    }

    /** The revision up to which it was told all small changes. */
    long toldSmallRevision() {
        return toldSmallRevision;
    }

    /** Whether it has said what it knows. */
    boolean isHeard() {
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

    /** Takes note of what it says, and of what this host knows. */
    void heard(long ownRevision, long nowMillis) {
        long known = receiver.state().knownRevision();
        toldRevision = Math.max(toldRevision, known);
        toldSmallRevision = Math.max(toldSmallRevision, toldRevision);
        if (known >= goalRevision) {
            goalRevision = ownRevision;
            goalAtMillis = nowMillis;
        }
    }

    /**
     * Whether it has not learnt for some time what this host knew then. One that is always a little behind, as changes go
     * on, lacks nothing.
     */
    boolean lacksFor(long millis, long nowMillis) {
        return receiver.state().knownRevision() < goalRevision
                && transfer.isEmpty()
                && nowMillis - Math.max(goalAtMillis, sentAtMillis) > millis;
    }

    /** Forgets what it was told beyond what it says: it did not take it. */
    void believeOnlyWhatItSays() {
        toldRevision = Math.max(0, receiver.state().knownRevision());
        toldSmallRevision = toldRevision;
    }

    void toldSmall(long revision, long nowMillis) {
        toldSmallRevision = Math.max(toldSmallRevision, revision);
        sentAtMillis = nowMillis;
    }

    void toldAll(long revision, long nowMillis) {
        toldRevision = Math.max(toldRevision, revision);
        toldSmall(revision, nowMillis);
        transfer = Option.none();
    }

    void began(StoreTransfer newTransfer, long nowMillis) {
        transfer = Option.some(newTransfer);
        sentAtMillis = nowMillis;
    }
}
