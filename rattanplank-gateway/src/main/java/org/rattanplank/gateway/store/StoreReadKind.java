package org.rattanplank.gateway.store;

/** The kind of call by which a feed reads the store. Immutable and thread safe. */
public enum StoreReadKind {
    /** Reads all items under a prefix, in pages. */
    LIST,
    /** Reads the changes since a revision. */
    WATCH
}
