package org.rattanplank.gateway.peer;

/** A host that the store is replicated to. Confined to the event loop. */
public interface StoreReceiver {
    /**
     * Returns the host's name.
     *
     * @return the name
     */
    String name();

    /**
     * Returns whether the host is in the region of this one.
     *
     * @return whether it is; false until it has identified itself
     */
    boolean isInOwnRegion();

    /**
     * Returns the state that the host reported last.
     *
     * @return the state
     */
    PeerFrame.State state();

    /**
     * Returns the number of bytes that were sent to the host and have not left this one.
     *
     * @return the bytes
     */
    long pendingBytes();

    /**
     * Sends a frame.
     *
     * @param frame the frame
     * @param bytes the encoded frame
     */
    void send(PeerFrame frame, byte[] bytes);
}
