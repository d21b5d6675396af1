package org.rattanplank.core.store;

/** The component of a node that made a call to the platform's store and receives its reply. */
public enum StoreOwner {
    /** The claim views. */
    CLAIM,
    /** The configuration of the operators. */
    CONFIGURATION,
    /** Leases and orders of controllers. */
    CONTROL
}
