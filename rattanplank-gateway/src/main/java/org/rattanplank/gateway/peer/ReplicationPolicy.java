package org.rattanplank.gateway.peer;

/** Decides which hosts this one replicates the store to. Called on the event loop. */
public interface ReplicationPolicy {
    /** The delay for a host that needs no help to catch up. */
    long NEVER = Long.MAX_VALUE;

    /**
     * Whether this host relays each change to another one.
     *
     * @param receiver the other host
     * @return whether it is its relay
     */
    boolean relaysTo(StoreReceiver receiver);

    /**
     * How long another host must have been behind until this one helps it to catch up.
     *
     * @param receiver the other host
     * @return milliseconds, or {@link #NEVER}
     */
    long catchUpAfterMillis(StoreReceiver receiver);
}
