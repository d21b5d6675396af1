package org.rattanplank.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Merges the chunks of a body that were received together, so that what is done for each chunk is bounded by the number
 * of reads and not by the sender.
 *
 * <p>Invariants: all bytes are passed on in order and in the turn in which they were received; the first {@link
 * #MAX_SINGLE_CHUNKS} chunks of a turn are passed on as they are, as each is usually one event of a stream. Confined to
 * the event loop.
 */
public final class ChunkMerger extends ChannelInboundHandlerAdapter {
    static final int MAX_SINGLE_CHUNKS = 64;

    private int chunksOfTurn;
    private ByteBuf merged;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!isChunk(message) || ++chunksOfTurn <= MAX_SINGLE_CHUNKS) {
            passOn(context);
            context.fireChannelRead(message);
            return;
        }
        HttpContent chunk = (HttpContent) message;
        try {
            if (merged == null) {
                merged = context.alloc().heapBuffer(chunk.content().readableBytes());
            }
            merged.writeBytes(chunk.content());
        } finally {
            chunk.release();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        passOn(context);
        chunksOfTurn = 0;
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        passOn(context);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        passOn(context);
        context.fireExceptionCaught(cause);
    }

    private void passOn(ChannelHandlerContext context) {
        ByteBuf bytes = merged;
        if (bytes != null) {
            merged = null;
            context.fireChannelRead(new DefaultHttpContent(bytes));
        }
    }

    private static boolean isChunk(Object message) {
        return message instanceof HttpContent content
                && !(message instanceof HttpMessage)
                && !(message instanceof LastHttpContent)
                && content.decoderResult().isSuccess();
    }
}
