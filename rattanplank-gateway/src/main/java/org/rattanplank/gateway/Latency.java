package org.rattanplank.gateway;

import java.util.Locale;

/** The times that are measured, each with a histogram of its own. Immutable and thread safe. */
public enum Latency {
    /** From a request's arrival to the first part of its answer's body. */
    FIRST_PART,
    /** From a request's arrival to the end of its whole answer. */
    WHOLE,
    /** The longest pause between two parts of an answer. */
    LONGEST_GAP,
    /** From a request's first byte to its last. */
    REQUEST_READ,
    /** How late a step of the event loop runs; all requests of the host wait as long. */
    LOOP_DELAY,
    /** From a request's arrival to its first sending. */
    BEFORE_SEND,
    /** A question to another host and its answer, on the way alone. */
    PEER_ROUND_TRIP,
    /** A call to the store that is answered at once. */
    STORE_CALL;

    /**
     * How it is called in metrics.
     *
     * @return its name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT) + "_millis";
    }
}
