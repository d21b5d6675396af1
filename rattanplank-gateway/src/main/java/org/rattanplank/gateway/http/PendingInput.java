package org.rattanplank.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads bytes that are pending in the socket of a connection.
 *
 * <p>After a pause an event loop runs its timers before it polls its sockets, so the absence of reads does not show
 * that nothing has arrived. Code that closes a connection or fails a request because nothing was received must read
 * here first, in the same event loop task: otherwise a request that has arrived would be lost unread, and its caller
 * could not tell whether it ran. Stateless; must be called on the connection's event loop.
 */
public final class PendingInput {
    private PendingInput() {}

    /**
     * Passes all pending bytes to the connection's handlers, or accepts the pending connections of a server channel.
     *
     * @param channel the connection or server channel
     */
    public static void read(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }
}
