package org.rattanplank.gateway.target;

/** A request in progress at a target or another host. Confined to the event loop. */
public interface Attempt {
    /**
     * Returns the destination of the request, for logs.
     *
     * @return the text of the target's incarnation, or the other host's name
     */
    String destination();

    /**
     * Returns the target that holds the backup of the stream, where it may be continued if the attempt fails.
     *
     * @return the text of the target's incarnation, or empty if there is none
     */
    default String backup() {
        return "";
    }

    /** Cancels the request without notifying the listener; the connection is closed so that the target stops. */
    void cancel();

    /**
     * Checks the attempt periodically.
     *
     * @param nowMillis the time
     */
    default void tick(long nowMillis) {}
}
