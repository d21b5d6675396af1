package org.rattanplank.gateway.store;

/** How a feed asks the store for items. Immutable and thread safe. */
public enum FeedReading {
    /** Everything under a prefix, in pages. */
    LIST,
    /** What changed since a revision. */
    WATCH
}
