package org.rattanplank.daemon.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.vavr.control.Try;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.UnknownMessage;
import org.tinylog.Logger;

/**
 * Reads and writes the frames of one connection; a frame that cannot be decoded closes the connection. Confined to the
 * channel's event loop.
 */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final int LENGTH_BYTES = 4;

    private final TrafficCounter traffic;

    FrameHandler(TrafficCounter traffic) {
        this.traffic = traffic;
    }

    final void addTo(ChannelPipeline pipeline, int maxFrameBytes) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(this);
    }

    /** Handles a message of a known kind. */
    abstract void received(Channel channel, PeerMessage message);

    /** Called when the connection has been closed. */
    abstract void closed();

    final void write(Channel channel, PeerMessage message) {
        write(channel, message, FrameCodec.encode(message));
    }

    final void write(Channel channel, PeerMessage message, byte[] frame) {
        write(channel, message, frame, channel.voidPromise());
    }

    final void write(Channel channel, PeerMessage message, byte[] frame, ChannelPromise promise) {
        traffic.sent(message, frame.length + LENGTH_BYTES);
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame), promise);
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        int bytes = frame.readableBytes() + LENGTH_BYTES;
        Try<PeerMessage> message = FrameCodec.decode(ByteBufUtil.getBytes(frame));
        if (message.isFailure()) {
            Logger.warn("peer: received a frame that cannot be decoded; closing the connection");
            context.close();
            return;
        }
        traffic.received(message.get(), bytes);
        if (!(message.get() instanceof UnknownMessage)) {
            received(context.channel(), message.get());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closed();
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Logger.debug("peer: connection failed: {}", cause.getClass().getSimpleName());
        context.close();
    }
}
