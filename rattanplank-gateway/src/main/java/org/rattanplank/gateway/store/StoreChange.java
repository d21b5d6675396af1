package org.rattanplank.gateway.store;

import java.util.Objects;

/**
 * A change to the local copy of the store, with how this host has learnt of it. Immutable and thread safe.
 *
 * @param item the item, or its removal
 * @param source the kind of call to the store, or the name of the host that sent it
 * @param copyRevision the revision up to which the local copy was complete before
 */
public record StoreChange(StoreItem item, String source, long copyRevision) {
    public StoreChange {
        Objects.requireNonNull(item, "item");
        Objects.requireNonNull(source, "source");
    }
}
