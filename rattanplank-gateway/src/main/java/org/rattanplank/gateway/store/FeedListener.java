package org.rattanplank.gateway.store;

/** Hears what a feed learns. Called on the feed's event loop. */
public interface FeedListener {
    /**
     * Something was learnt.
     *
     * @param item the item that says it
     * @param fact what it says
     */
    void learnt(StoreItem item, ClusterFact fact);

    /**
     * The store answered a call that it answers at once.
     *
     * @param tookMillis how long it took
     */
    void storeAnswered(long tookMillis);

    /**
     * A page of items or changes was read.
     *
     * @param reading how it was asked for
     * @param bytes the bytes of its values
     * @param items the items
     * @param tookMillis from the call to its answer
     */
    void read(FeedReading reading, long bytes, int items, long tookMillis);

    /** The store answers after it had not; entries that lapsed meanwhile may come back. */
    void storeReturned();

    /**
     * The store does not answer.
     *
     * @param reason how that was noticed
     */
    void storeLost(StoreFailure reason);
}
