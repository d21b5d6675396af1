package org.rattanplank.gateway.store;

import java.util.List;

/**
 * Items and removals of a host's local copy of the store, as sent to another host. Immutable and thread safe.
 *
 * @param baseRevision the revision since which the items are all changes; zero if they are all items of the store
 * @param revision the revision up to which the items are complete; zero if they are only some of the changes
 * @param removalsSinceRevision the revision since which the removals among them are complete
 * @param items the items and removals, the newest of each key
 */
public record StoreContents(long baseRevision, long revision, long removalsSinceRevision, List<StoreItem> items) {
    public StoreContents {
        items = List.copyOf(items);
    }

    /**
     * Creates the contents of a whole copy.
     *
     * @param revision the revision up to which it is complete
     * @param items all its items
     * @return the contents
     */
    public static StoreContents all(long revision, List<StoreItem> items) {
        return new StoreContents(0, revision, revision, items);
    }

    /**
     * Creates contents that are only some of the changes.
     *
     * @param items the items and removals
     * @return the contents
     */
    public static StoreContents some(List<StoreItem> items) {
        return new StoreContents(0, 0, 0, items);
    }
}
