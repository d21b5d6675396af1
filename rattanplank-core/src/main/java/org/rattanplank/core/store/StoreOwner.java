package org.rattanplank.core.store;

/** Which part of a node made a call to the platform's store, and gets its reply. */
public enum StoreOwner {
    /** The views that hold claims. */
    CLAIM,
    /** The operators' configuration. */
    CONFIGURATION,
    /** The leases and orders of controllers. */
    CONTROL
}
