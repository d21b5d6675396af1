package org.rattanplank.bench.soak;

import java.util.List;

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
    CONFIGURATION_CHANGES,
    /** A replica names a limit of its requests temporarily. */
    REPLICA_LIMITED,
    /** A request that crashes each replica that runs it is sent to several hosts. */
    CRASHING_REQUEST,
    /** The responses of a replica end with their connections temporarily, whole, cut or reset. */
    REPLICA_CLOSE_DELIMITED,
    /** Different requests with a prompt part that crashes each replica which runs them are sent to several hosts. */
    CRASHING_PROMPT_PART,
    /** A replica rejects all requests temporarily and asks each host for a pause. */
    REPLICA_PAUSED,
    /** A replica says in its responses that it leaves, some time before its entry is removed. */
    REPLICA_LEAVES,
    /** The store comes back from an older copy; operators and replicas then write again what they had written since. */
    STORE_RESTORED,
    /**
     * Runs of a replica fail or succeed temporarily, most of them after a second answer to the earlier request of their
     * connection, which is whole or stops inside its head or body.
     */
    REPLICA_ANSWERS_LATE,
    /** Answers of a replica temporarily have heads that break the syntax of HTTP. */
    REPLICA_HEADS_MALFORMED,
    /** A gateway process is asked to read its settings again. */
    RELOAD_HOST,
    /**
     * A replica that leaves closes its port, goes on with its responses, which end whole with their connections, and is
     * then replaced.
     */
    REPLICA_SHUTS_DOWN;

    /** The faults that are drawn one at a time; the others are drawn beside them, so that the draw of a seed stays. */
    static final List<SoakFault> SINGLE = List.of(values()).subList(0, REPLICA_LIMITED.ordinal());

    /** The faults that are drawn beside the single ones. */
    static final List<SoakFault> ADDITIONAL = List.of(REPLICA_LIMITED, CRASHING_REQUEST);

    /** The faults that are drawn beside both, for the same reason. */
    static final List<SoakFault> FURTHER = List.of(REPLICA_CLOSE_DELIMITED, CRASHING_PROMPT_PART);

    /** The faults after which a host may ask a replica again that has told it to send nothing. */
    static final List<SoakFault> EXCUSING =
            List.of(FREEZE_HOST, KILL_HOST, STOP_HOST, REPLICA_CUT, REPLICA_LATE, REPLICA_SILENT);

    /** The faults that are drawn beside all of them, likewise. */
    static final List<SoakFault> LATEST = List.of(REPLICA_PAUSED, REPLICA_LEAVES, STORE_RESTORED);

    /** The faults of answers, which are drawn beside all of these, likewise. */
    static final List<SoakFault> ANSWERS = List.of(REPLICA_ANSWERS_LATE);

    /** The faults of heads, which are drawn beside all of these, likewise. */
    static final List<SoakFault> HEADS = List.of(REPLICA_HEADS_MALFORMED);

    /** The faults that are drawn while hosts stop. */
    static final List<SoakFault> DURING_STOPS =
            List.of(KILL_HOST, RELOAD_HOST, CONFIGURATION_CHANGES, REPLICA_PAUSED, REPLICA_REPLACED);
}
