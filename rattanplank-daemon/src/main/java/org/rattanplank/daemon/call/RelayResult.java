package org.rattanplank.daemon.call;

/** Result of relaying a stream event from an attempt to the requester. */
public enum RelayResult {
    /** The event was delivered. */
    PASSED_ON,
    /** The event had been delivered before. */
    DUPLICATE,
    /** Previous events are missing. */
    GAP,
    /** The attempt is not the current one, or the request already has an outcome. */
    STALE
}
