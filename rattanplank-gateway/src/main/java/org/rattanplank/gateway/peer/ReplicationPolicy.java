package org.rattanplank.gateway.peer;

/** Decides to which hosts this one replicates the store. Called on the event loop. */
public interface ReplicationPolicy {
    /** The delay for a host to which this one sends no catch-up. */
    long NEVER = Long.MAX_VALUE;

    /**
     * Returns whether this host relays each change to another one.
     *
     * @param receiver the other host
     * @return whether this host is its relay
     */
    boolean relaysTo(StoreReceiver receiver);

    /**
     * Returns how long another host must have been behind before this one sends it what it is missing.
     *
     * @param receiver the other host
     * @return milliseconds, or {@link #NEVER}
     */
    long catchUpAfterMillis(StoreReceiver receiver);
}
