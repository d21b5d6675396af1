package org.rattanplank.daemon.peer;

import org.rattanplank.schema.message.PeerMessage;

/** Counts the messages and bytes of links. Implementations are thread safe and never block. */
public interface TrafficCounter {

    /**
     * Counts a message that was sent.
     *
     * @param message the message
     * @param bytes its size on the wire
     */
    void sent(PeerMessage message, int bytes);

    /**
     * Counts a message that was received.
     *
     * @param message the message
     * @param bytes its size on the wire
     */
    void received(PeerMessage message, int bytes);
}
