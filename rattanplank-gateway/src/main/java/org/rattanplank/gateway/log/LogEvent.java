package org.rattanplank.gateway.log;

import java.util.Locale;

/** The event that a log line reports. Immutable and thread safe. */
public enum LogEvent {
    /** The process has started and serves its ports. */
    STARTED,
    /** The process was requested to stop and accepts no more callers. */
    STOPPING,
    /** The process terminates. */
    STOPPED,
    /** The settings were reloaded. */
    RELOADED,
    /** The store does not respond. */
    STORE_LOST,
    /** The store responds again. */
    STORE_RETURNED,
    /** The lease of the host's entry in the store could not be renewed. */
    LEASE_FAILED,
    /** Another host is connected. */
    PEER_CONNECTED,
    /** Another host is disconnected. */
    PEER_LOST,
    /** A newer configuration has been applied. */
    CONFIGURED,
    /** An item of the store could not be parsed; its previous value stays in use. */
    ITEM_UNREADABLE,
    /** A target was added, or was reported as leaving. */
    TARGET_CHANGED,
    /** The entry of a target was removed. */
    TARGET_GONE,
    /** A target has named a limit of its requests, another one than before, or none any more. */
    TARGET_LIMIT,
    /** A target has named a limit that is none. */
    TARGET_LIMIT_INVALID,
    /** A target wants no requests from this host for some time. */
    TARGET_PAUSED,
    /** A target has sent bytes that are no response to the request in progress. */
    RESPONSE_UNUSABLE,
    /** A response ended with its connection, and it was decided whether it is whole. */
    RESPONSE_END,
    /** A target crashed while requests of this host were in flight there. */
    TARGET_CRASHED,
    /** A request is quarantined, as several targets crashed under it. */
    QUARANTINED,
    /** An operator has lifted the quarantine of a request. */
    QUARANTINE_LIFTED,
    /** A quarantine, or its end, could not be written to the store; it is tried again. */
    QUARANTINE_NOT_RECORDED,
    /** The evacuation of a data centre began or ended. */
    EVACUATION,
    /** A request was rejected. */
    REFUSED,
    /** A request was rejected because the allowance of its client account is used up. */
    OVER_ALLOWANCE,
    /** A request was sent to the chosen target. */
    SENT,
    /** A request was forwarded to a host of another region. */
    FORWARDED,
    /** A request forwarded by another host was accepted. */
    FORWARD_TAKEN,
    /** An attempt at a target failed. */
    ATTEMPT_FAILED,
    /** A request was retried. */
    REPEATED,
    /** A stream was resumed at another target. */
    RESUMED,
    /** A stream whose target failed continues at its backup. */
    FAILED_OVER,
    /** A stream whose target failed could not continue at its backup. */
    NOT_FAILED_OVER,
    /** A request received its final response, or its caller disconnected. */
    ENDED,
    /** The complete local copy of the store was sent to another host. */
    STORE_TOLD,
    /** This host has lacked changes of the store for some time that another host has. */
    STORE_BEHIND,
    /** This host's copy of the store differs from that of another one at the same revision; it lists the store. */
    STORE_DIFFERS,
    /** A watch of the store returned nothing although another host has a newer revision; this host lists the store. */
    STORE_WATCH_SILENT,
    /** The store has come back from an older copy and gives revisions out again. */
    STORE_RESTORED,
    /** A large response of the store was read. */
    STORE_READ,
    /** Many bytes for another host are still queued in this process. */
    LINK_FULL,
    /** The event loop was delayed. */
    LOOP_LATE,
    /** One turn of the event loop takes long and has not ended yet. */
    LOOP_STALLED,
    /** Log lines were dropped because the queue was full. */
    LINES_DROPPED;

    /**
     * Returns the name of the event in log lines.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
