package org.rattanplank.gateway.http;

import java.util.Objects;
import java.util.function.IntConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Tells of raw bytes before anything is made of them: a head or frame that isn't whole yet is a sign of life as well.
 * Confined to the event loop.
 */
public final class ByteWatch extends ChannelInboundHandlerAdapter {
    private final IntConsumer bytesCame;

    /**
     * Makes a watch.
     *
     * @param bytesCame told how many bytes came, each time
     */
    public ByteWatch(IntConsumer bytesCame) {
        this.bytesCame = Objects.requireNonNull(bytesCame, "bytesCame");
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        bytesCame.accept(((ByteBuf) bytes).readableBytes());
        context.fireChannelRead(bytes);
    }
}
