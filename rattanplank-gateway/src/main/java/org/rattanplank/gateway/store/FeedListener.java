package org.rattanplank.gateway.store;

/** Receives the events of a {@link StoreFeed}. Called on the feed's event loop. */
public interface FeedListener {
    /**
     * Called when an item has changed.
     *
     * @param change the item, or its removal, and where it comes from
     * @param event the change that the item describes
     */
    void itemChanged(StoreChange change, ClusterEvent event);

    /**
     * Called when the store has responded to a call that it does not hold.
     *
     * @param tookMillis the latency of the call
     */
    void storeResponded(long tookMillis);

    /**
     * Called when a page of items or changes was received.
     *
     * @param kind the kind of call
     * @param bytes the size of its values
     * @param items the number of items
     * @param tookMillis the time from the call to its response
     */
    void pageReceived(StoreReadKind kind, long bytes, int items, long tookMillis);

    /**
     * Called when the local copy differs from that of another host at the same revision, or can't be completed by what that
     * host has sent, and the store is listed.
     *
     * @param peer the name of the other host
     * @param revision the revision
     */
    void copyDiffers(String peer, long revision);

    /**
     * Called when a watch is silent although another host has a newer revision, and the store is listed.
     *
     * @param lagMillis for how long the local copy has lacked the newer revision
     * @param copyRevision the revision up to which the local copy is complete
     */
    void watchSilent(long lagMillis, long copyRevision);

    /**
     * Called when the store has come back from an older copy, before the removals of what the copy lacks; operators and targets
     * write again what they had written since.
     *
     * @param copyRevision the revision up to which the local copy was complete
     * @param revision a revision of the store since
     */
    void storeRestored(long copyRevision, long revision);

    /** Called when the store responds again after an outage; entries that expired meanwhile may be registered again. */
    void storeRecovered();

    /**
     * Called when the store has become unavailable.
     *
     * @param reason the failure by which that was detected
     */
    void storeUnavailable(StoreFailure reason);
}
