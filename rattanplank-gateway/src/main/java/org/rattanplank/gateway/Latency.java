package org.rattanplank.gateway;

import java.util.Locale;

/** The measured durations, each with its own histogram. Immutable and thread safe. */
public enum Latency {
    /** From the arrival of a request to the first chunk of its response body. */
    FIRST_PART,
    /** From the arrival of a request to the end of its response. */
    WHOLE,
    /** The longest time between two chunks of a response. */
    LONGEST_GAP,
    /** From the first byte of a request to its last. */
    REQUEST_READ,
    /** The delay of a tick of the event loop; all requests of the host are delayed as much. */
    LOOP_DELAY,
    /** From the arrival of a request to its first send. */
    BEFORE_SEND,
    /** The network round trip to another host, without its processing time. */
    PEER_ROUND_TRIP,
    /** A store call that is answered without waiting for changes. */
    STORE_CALL;

    /**
     * Returns the metric name.
     *
     * @return the name without prefix
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT) + "_millis";
    }
}
