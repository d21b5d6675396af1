package org.rattanplank.gateway.http;

import java.util.Objects;
import java.util.function.IntConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Reports the number of raw bytes received before they are decoded, so that incomplete headers or frames count as
 * activity as well. Confined to the event loop.
 */
public final class ByteCountHandler extends ChannelInboundHandlerAdapter {
    private final IntConsumer bytesReceived;

    /**
     * Creates a handler.
     *
     * @param bytesReceived receives the number of bytes of each read
     */
    public ByteCountHandler(IntConsumer bytesReceived) {
        this.bytesReceived = Objects.requireNonNull(bytesReceived, "bytesCame");
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        bytesReceived.accept(((ByteBuf) bytes).readableBytes());
        context.fireChannelRead(bytes);
    }
}
