package org.rattanplank.daemon.peer;

import org.rattanplank.schema.message.PeerMessage;

/** Counts what goes over links. Implementations are thread safe and never block. */
public interface Traffic {

    /**
     * Counts a message that went out.
     *
     * @param message the message
     * @param bytes its size
     */
    void sent(PeerMessage message, int bytes);

    /**
     * Counts a message that came in.
     *
     * @param message the message
     * @param bytes its size
     */
    void received(PeerMessage message, int bytes);
}
