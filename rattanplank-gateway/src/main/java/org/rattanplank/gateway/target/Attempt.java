package org.rattanplank.gateway.target;

/** A request under way at a target or another host. Confined to the event loop. */
public interface Attempt {
    /**
     * Where it went, for logs.
     *
     * @return the target's identifier, or the other host's name
     */
    String to();

    /** Ends it without a further word to the listener; the target is told to stop by closing its connection. */
    void cancel();
}
