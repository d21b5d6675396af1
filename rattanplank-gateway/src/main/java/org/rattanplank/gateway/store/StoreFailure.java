package org.rattanplank.gateway.store;

/** Why a call to the store failed. Immutable and thread safe. */
public enum StoreFailure {
    /** No response arrived: the call may have been executed. */
    NO_ANSWER,
    /** The store rejected the call without executing it; a later call may succeed. */
    REFUSED,
    /** The store no longer has the requested changes. */
    HISTORY_GONE,
    /** The lease or key does not exist. */
    NOT_FOUND,
    /** A condition of the call did not hold. */
    CONFLICT,
    /** The response can't be decoded. */
    UNREADABLE
}
