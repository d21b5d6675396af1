package org.rattanplank.bench.soak;

/** Faults that the soak test injects into processes and links. Immutable and thread safe. */
enum SoakFault {
    /** A gateway process is suspended temporarily. */
    FREEZE_HOST,
    /** A gateway process is killed and restarted. */
    KILL_HOST,
    /** A gateway process is asked to stop and restarted. */
    STOP_HOST,
    /** The store rejects all calls temporarily. */
    STORE_DOWN,
    /** Connections of one host to the store are unresponsive temporarily. */
    STORE_SILENT,
    /** One host is partitioned from the store temporarily. */
    STORE_CUT,
    /** The store discards its revision history. */
    STORE_FORGETS,
    /** Open connections to a replica become unresponsive permanently, while new connections work. */
    REPLICA_SILENT,
    /** A replica is unreachable temporarily. */
    REPLICA_CUT,
    /** Responses of a replica are delayed temporarily. */
    REPLICA_LATE,
    /** A replica is removed and another one with a new identifier is added. */
    REPLICA_REPLACED,
    /** The configuration changes. */
    CONFIGURATION_CHANGES
}
