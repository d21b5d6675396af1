package org.rattanplank.daemon.caller;

import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;

/**
 * Bounds one connection of a caller.
 *
 * <p>Invariants: from a request's first byte to its last at most the given time passes; a refused connection is closed
 * soon after its refusal. Confined to the channel's event loop.
 */
final class CallerConnection extends ChannelDuplexHandler {
    private static final String RATPACK_DECODER = "decoder";
    private static final long LINGER_MILLIS = 1_000;

    private final String host;
    private final boolean full;
    private final long readTimeoutMillis;
    private Option<Future<?>> deadline = Option.none();
    private boolean refused;
    private boolean answered;
    private boolean awaitingReply;

    CallerConnection(String host, boolean full, long readTimeoutMillis) {
        this.host = host;
        this.full = full;
        this.readTimeoutMillis = readTimeoutMillis;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (full) {
            refuse(context, Refusal.busy(host, "too many connections are open"));
            return;
        }
        context.pipeline().addAfter(RATPACK_DECODER, "request-watch", new RequestWatch(context));
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (refused) {
            ReferenceCountUtil.release(bytes);
            context.read();
            return;
        }
        if (deadline.isEmpty() && !awaitingReply) {
            answered = false;
            deadline = Option.some(
                    context.executor().schedule(() -> tooSlow(context), readTimeoutMillis, TimeUnit.MILLISECONDS));
        }
        context.fireChannelRead(bytes);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (refused) {
            ReferenceCountUtil.release(message);
            promise.setFailure(new ClosedChannelException());
            return;
        }
        answered = true;
        awaitingReply = false;
        context.write(message, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopTimer();
        context.fireChannelInactive();
    }

    private void tooSlow(ChannelHandlerContext context) {
        if (answered) {
            context.close();
            return;
        }
        refuse(
                context,
                Refusal.accept(
                        Refusal.TIMED_OUT, host, "the request was not there within " + readTimeoutMillis + " ms"));
    }

    private void stopTimer() {
        deadline.forEach(timer -> timer.cancel(false));
        deadline = Option.none();
    }

    /** Closing at once while the caller still sends would reset the connection before the refusal is read. */
    private void refuse(ChannelHandlerContext context, Refusal refusal) {
        refused = true;
        stopTimer();
        context.writeAndFlush(rawOf(Replies.of("", refusal)));
        ((SocketChannel) context.channel()).shutdownOutput();
        context.read();
        context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static ByteBuf rawOf(CallerReply reply) {
        StringBuilder head =
                new StringBuilder("HTTP/1.1 ").append(reply.status()).append(" Refused\r\n");
        for (Map.Entry<String, String> header : reply.headers().entrySet()) {
            head.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n");
        }
        head.append("Content-Type: ").append(reply.contentType()).append("\r\n");
        head.append("Content-Length: ").append(reply.body().length).append("\r\n");
        head.append("Connection: close\r\n\r\n");
        return Unpooled.wrappedBuffer(head.toString().getBytes(StandardCharsets.US_ASCII), reply.body());
    }

    /** Stands behind the decoder, where a request's end and its faults can be seen. */
    private final class RequestWatch extends ChannelInboundHandlerAdapter {
        private final ChannelHandlerContext connection;

        RequestWatch(ChannelHandlerContext connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object part) {
            if (part instanceof HttpRequest request && request.decoderResult().isFailure()) {
                refuse(connection, refusalOf(request.decoderResult().cause()));
                ReferenceCountUtil.release(part);
                return;
            }
            if (part instanceof LastHttpContent) {
                stopTimer();
                awaitingReply = true;
            }
            context.fireChannelRead(part);
        }

        private Refusal refusalOf(Throwable fault) {
            boolean tooLong = fault instanceof TooLongHttpHeaderException || fault instanceof TooLongHttpLineException;
            return tooLong
                    ? Refusal.accept(Refusal.HEADERS_TOO_LARGE, host, "the request line or the headers are too large")
                    : Refusal.accept(Refusal.BAD_REQUEST, host, "the request is not sound HTTP");
        }
    }
}
