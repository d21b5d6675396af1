package org.rattanplank.gateway.store;

import java.util.List;

/**
 * A page of the store's items or of changes to them. Immutable and thread safe.
 *
 * @param items the items in the order of their keys, or the changes in the order in which they were made
 * @param revision the store's revision, from which changes can be watched
 * @param hasMore whether further items follow the last one
 */
public record StorePage(List<StoreItem> items, long revision, boolean hasMore) {
    public StorePage {
        items = List.copyOf(items);
    }

    /**
     * Returns the total size of the values.
     *
     * @return the bytes
     */
    public long valueBytes() {
        return items.stream().mapToLong(item -> item.value().length).sum();
    }
}
