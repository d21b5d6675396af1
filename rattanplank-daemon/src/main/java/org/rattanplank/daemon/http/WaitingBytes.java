package org.rattanplank.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.epoll.EpollSocketChannel;
import org.tinylog.Logger;

/**
 * Reads what has come over a connection and still waits in its socket, so that it isn't ended as idle while a request
 * waits there. Stateless; called on the connection's event loop.
 */
public final class WaitingBytes {
    private static final int MOST_BYTES = 65_536;
    private static final int ENDED = -1;

    private WaitingBytes() {}

    /**
     * Hands all that has come to the connection's handlers.
     *
     * @param channel the connection
     */
    public static void read(Channel channel) {
        if (!(channel instanceof EpollSocketChannel epoll)) {
            org.rattanplank.gateway.http.WaitingBytes.read(channel);
            return;
        }
        if (!channel.isActive()) {
            return;
        }
        // The library has no call for this: its own read waits for the next turn of the event loop.
        ByteBuf bytes = channel.alloc().directBuffer(MOST_BYTES);
        int count = read(epoll, bytes);
        if (count <= 0) {
            bytes.release();
            if (count == ENDED) {
                channel.close();
            }
            return;
        }
        bytes.writerIndex(count);
        channel.pipeline().fireChannelRead(bytes);
        channel.pipeline().fireChannelReadComplete();
    }

    private static int read(EpollSocketChannel channel, ByteBuf bytes) {
        try {
            ByteBuffer space = bytes.internalNioBuffer(0, MOST_BYTES);
            return channel.fd().read(space, space.position(), space.limit());
        } catch (IOException e) {
            Logger.debug(e, "a connection broke before its end");
            return ENDED;
        }
    }
}
