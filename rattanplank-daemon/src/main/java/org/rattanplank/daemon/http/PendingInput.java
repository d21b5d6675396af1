package org.rattanplank.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.epoll.EpollSocketChannel;
import org.tinylog.Logger;

/**
 * Reads the input that is pending in the socket of a connection, so that the connection is not closed as idle while a
 * request is pending. Stateless; must be called on the connection's event loop.
 */
public final class PendingInput {
    private static final int MAX_READ_BYTES = 65_536;
    private static final int END_OF_STREAM = -1;

    private PendingInput() {}

    /**
     * Reads the pending input and passes it to the connection's handlers.
     *
     * @param channel the connection
     */
    public static void read(Channel channel) {
        if (!(channel instanceof EpollSocketChannel epoll)) {
            org.rattanplank.gateway.http.PendingInput.read(channel);
            return;
        }
        if (!channel.isActive()) {
            return;
        }
        // Netty has no synchronous read: Channel.read() takes effect only in a later iteration of the event loop.
        ByteBuf bytes = channel.alloc().directBuffer(MAX_READ_BYTES);
        int count = read(epoll, bytes);
        if (count <= 0) {
            bytes.release();
            if (count == END_OF_STREAM) {
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
            ByteBuffer buffer = bytes.internalNioBuffer(0, MAX_READ_BYTES);
            return channel.fd().read(buffer, buffer.position(), buffer.limit());
        } catch (IOException e) {
            Logger.debug(e, "cannot read the pending input of a connection");
            return END_OF_STREAM;
        }
    }
}
