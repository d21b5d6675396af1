package org.rattanplank.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads what has come over a connection and still waits in its socket.
 *
 * <p>An event loop that stood still runs its timers before it has looked at its sockets again, so "nothing was read" says
 * nothing about what has come. Whoever is about to end something because nothing came reads here first, in the same step:
 * otherwise a request that had come would be cut off unread, and its caller could not tell whether it ran. Stateless;
 * called on the connection's event loop.
 */
public final class WaitingBytes {
    private WaitingBytes() {}

    /**
     * Hands all that has come to the connection's handlers, or accepts the connections that wait at a port.
     *
     * @param channel the connection or port
     */
    public static void read(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }
}
