package org.rattanplank.daemon.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldPrepender;
import io.vavr.control.Try;
import org.rattanplank.gateway.peer.FrameDecoder;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.UnknownMessage;
import org.tinylog.Logger;

/**
 * Reads and writes the frames of one connection; a frame that cannot be decoded closes the connection. Confined to the
 * channel's event loop.
 */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final TrafficCounter traffic;
    private final FrameDecoder decoder;

    FrameHandler(TrafficCounter traffic, int maxFrameBytes) {
        this.traffic = traffic;
        decoder = new FrameDecoder(maxFrameBytes);
    }

    final void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(decoder)
                .addLast(new LengthFieldPrepender(FrameDecoder.LENGTH_FIELD_BYTES))
                .addLast(this);
    }

    /** Returns whether a message has arrived in part. */
    final boolean isReceivingMessage() {
        return decoder.hasIncompleteFrame();
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
        traffic.sent(message, frame.length + FrameDecoder.LENGTH_FIELD_BYTES);
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame), promise);
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        int bytes = frame.readableBytes() + FrameDecoder.LENGTH_FIELD_BYTES;
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
