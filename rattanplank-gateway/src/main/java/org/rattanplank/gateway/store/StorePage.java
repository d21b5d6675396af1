package org.rattanplank.gateway.store;

import java.util.List;

/**
 * A part of the store's items, or changes to them. Immutable and thread safe.
 *
 * @param items the items in the order of their keys, or the changes in the order in which they were made
 * @param revision the store's revision, from which changes can be followed
 * @param more whether there are further items behind the last one
 */
public record StorePage(List<StoreItem> items, long revision, boolean more) {
    public StorePage {
        items = List.copyOf(items);
    }

    /**
     * The size of its values.
     *
     * @return bytes
     */
    public long valueBytes() {
        return items.stream().mapToLong(item -> item.value().length).sum();
    }
}
