package org.rattanplank.bench.soak;

/** What the soak does to the processes and links. Immutable and thread safe. */
enum SoakFault {
    /** A gateway process stands still for a while. */
    FREEZE_HOST,
    /** A gateway process is killed and started again. */
    KILL_HOST,
    /** A gateway process is asked to stop and started again. */
    STOP_HOST,
    /** The store refuses all calls for a while. */
    STORE_DOWN,
    /** One host's connections to the store carry nothing for a while. */
    STORE_SILENT,
    /** One host is cut off from the store for a while. */
    STORE_CUT,
    /** The store forgets its history. */
    STORE_FORGETS,
    /** The open connections to a replica carry nothing any more, while new ones work. */
    REPLICA_SILENT,
    /** A replica is cut off for a while. */
    REPLICA_CUT,
    /** The answers of a replica come late for a while. */
    REPLICA_LATE,
    /** A replica leaves, and another one with a new identifier comes. */
    REPLICA_REPLACED,
    /** The configuration changes. */
    CONFIGURATION_CHANGES
}
