package org.rattanplank.daemon.caller;

import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;
import org.rattanplank.daemon.http.WaitingBytes;

/**
 * Bounds one connection of a caller.
 *
 * <p>Invariants: from a request's first byte to its last at most the given time passes; a refused connection is closed
 * soon after its refusal; a connection that this host ends has no request of its caller before its end. Confined to the
 * channel's event loop but for {@link #endIfIdle}.
 */
final class CallerConnection extends ChannelDuplexHandler {
    private static final String RATPACK_ENCODER = "encoder";

    /**
     * How long a connection stays after its sending half has ended. Closed at once, what its caller still sends would
     * reset it, and the reset could overtake the last reply.
     */
    private static final long LINGER_MILLIS = 1_000;

    /**
     * Who has connected and sent nothing yet is about to: its connection is not idle for so long. Ended sooner, its
     * request would cross the end and get no reply.
     */
    private static final long FRESH_MILLIS = 2_000;

    private final String host;
    private final boolean full;
    private final long readTimeoutMillis;
    private final RequestWatch requests = new RequestWatch(this);
    private final long acceptedAtNanos = System.nanoTime();
    private volatile Option<ChannelHandlerContext> open = Option.none();
    private Option<Future<?>> deadline = Option.none();
    private boolean fresh = true;
    private boolean refused;
    private boolean lingering;
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
        open = Option.some(context);
        context.pipeline().addAfter(RATPACK_ENCODER, "request-watch", requests);
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (refused || lingering) {
            ReferenceCountUtil.release(bytes);
            context.read();
            return;
        }
        fresh = false;
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

    /**
     * Ends the sending half first. A connection that is closed for its silence alone is read once more before: "nothing
     * was read" says nothing about what has come to a host that stood still.
     */
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (lingering || !context.channel().isActive()) {
            context.close(promise);
        } else if (isIdle() && hasBegunAfterRead(context)) {
            promise.tryFailure(new IllegalStateException("a request has come"));
        } else if (context.channel().isActive()) {
            linger(context, promise);
        } else {
            context.close(promise);
        }
    }

    /** Ends the connection if nothing of a request has come; called on any thread. */
    void endIfIdle() {
        open.forEach(context -> context.executor().execute(() -> endIfIdle(context)));
    }

    private void endIfIdle(ChannelHandlerContext context) {
        boolean expected = fresh && System.nanoTime() - acceptedAtNanos < TimeUnit.MILLISECONDS.toNanos(FRESH_MILLIS);
        if (isIdle() && !expected) {
            context.channel().close();
        }
    }

    private boolean isIdle() {
        return !refused && !lingering && deadline.isEmpty() && !requests.hasUnanswered() && !requests.toldTheEnd();
    }

    private boolean hasBegunAfterRead(ChannelHandlerContext context) {
        WaitingBytes.read(context.channel());
        return context.channel().isActive() && !isIdle();
    }

    private void linger(ChannelHandlerContext context, ChannelPromise promise) {
        lingering = true;
        stopTimer();
        ((SocketChannel) context.channel()).shutdownOutput();
        context.read();
        context.executor().schedule(() -> context.close(promise), LINGER_MILLIS, TimeUnit.MILLISECONDS);
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

    /** The request has come whole. */
    void requestEnded() {
        stopTimer();
        awaitingReply = true;
    }

    /** Refuses a request that can't be read. */
    void refuse(Throwable fault) {
        open.forEach(context -> refuse(context, refusalOf(fault)));
    }

    private Refusal refusalOf(Throwable fault) {
        boolean tooLong = fault instanceof TooLongHttpHeaderException || fault instanceof TooLongHttpLineException;
        return tooLong
                ? Refusal.accept(Refusal.HEADERS_TOO_LARGE, host, "the request line or the headers are too large")
                : Refusal.accept(Refusal.BAD_REQUEST, host, "the request is not sound HTTP");
    }

    private void refuse(ChannelHandlerContext context, Refusal refusal) {
        refused = true;
        context.writeAndFlush(rawOf(Replies.of("", refusal)));
        linger(context, context.newPromise());
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
}
