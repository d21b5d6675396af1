package org.rattanplank.gateway.peer;

/** A host that the store is replicated to. Confined to the event loop. */
public interface StoreReceiver {
    /**
     * What it is called.
     *
     * @return its name
     */
    String name();

    /**
     * Whether it is a host of this host's region.
     *
     * @return whether it is; not before it has said who it is
     */
    boolean isOwnRegion();

    /**
     * What it said last.
     *
     * @return its state
     */
    PeerFrame.State state();

    /**
     * What was sent to it and has not left this host.
     *
     * @return bytes
     */
    long waitingBytes();

    /**
     * Sends a frame.
     *
     * @param frame the frame
     * @param bytes the frame as it is written
     */
    void send(PeerFrame frame, byte[] bytes);
}
