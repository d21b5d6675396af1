package org.rattanplank.gateway.peer;

/** Which hosts this one tells of the store. Called on the event loop. */
public interface StoreDuties {
    /** The wait of a host that is not helped. */
    long NEVER = Long.MAX_VALUE;

    /**
     * Whether this host tells another one each change that it learns.
     *
     * @param receiver the other host
     * @return whether it is its teller
     */
    boolean tells(StoreReceiver receiver);

    /**
     * How long another host must have lacked something until this one tells it all that it lacks.
     *
     * @param receiver the other host
     * @return milliseconds, or {@link #NEVER}
     */
    long helpAfterMillis(StoreReceiver receiver);
}
