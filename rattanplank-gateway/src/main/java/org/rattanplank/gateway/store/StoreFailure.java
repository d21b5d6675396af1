package org.rattanplank.gateway.store;

/** Why a call to the store brought nothing. Immutable and thread safe. */
public enum StoreFailure {
    /** No answer came: the call may have been carried out. */
    NO_ANSWER,
    /** The store said that it did nothing for now. */
    REFUSED,
    /** The store no longer has the changes that were asked for. */
    HISTORY_GONE,
    /** There is no such lease or key. */
    NOT_FOUND,
    /** A condition did not hold. */
    CONFLICT,
    /** The answer can't be read. */
    UNREADABLE
}
