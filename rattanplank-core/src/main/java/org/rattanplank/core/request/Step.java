package org.rattanplank.core.request;

/** The step of a request's life at which an error arose. */
public enum Step {
    /** Reading and checking what the caller sent. */
    ACCEPT,
    /** Deciding whether there is room for the request. */
    ADMIT,
    /** Getting the right to run a call that may not be repeated. */
    CLAIM,
    /** Choosing a target. */
    ROUTE,
    /** Passing the request to another region's entry host. */
    FORWARD,
    /** Connecting to a target. */
    CONNECT,
    /** Sending the request to a target. */
    SEND,
    /** Receiving the answer. */
    RECEIVE;

    /**
     * The name in lower case, as callers and logs see it.
     *
     * @return the name
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
