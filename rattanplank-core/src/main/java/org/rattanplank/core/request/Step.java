package org.rattanplank.core.request;

/** The processing step of a request at which an error occurred. */
public enum Step {
    /** Reading and checking what the caller sent. */
    ACCEPT,
    /** Deciding whether the request is admitted. */
    ADMIT,
    /** Acquiring the claim for a call that may not run more than once. */
    CLAIM,
    /** Choosing a target. */
    ROUTE,
    /** Forwarding the request to an entry host of another region. */
    FORWARD,
    /** Connecting to a target. */
    CONNECT,
    /** Sending the request to a target. */
    SEND,
    /** Receiving the answer. */
    RECEIVE;

    /**
     * Returns the name in lower case, as used in answers to callers and in logs.
     *
     * @return the name
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
