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
import org.rattanplank.daemon.http.PendingInput;
import org.tinylog.Logger;

/**
 * Enforces the limits of one connection of a caller.
 *
 * <p>Invariants: a request arrives completely within the read timeout after its first byte; a rejected connection is
 * closed soon after the rejection; this host does not close a connection while a request is unanswered on it or pending
 * in its socket. Confined to the channel's event loop except for {@link #closeIfIdle} and {@link #rejectIfIncomplete}.
 */
final class CallerConnection extends ChannelDuplexHandler {
    private static final String RATPACK_ENCODER_NAME = "encoder";

    /**
     * Time between shutting down the output and closing the connection. If it were closed at once, further bytes from the
     * caller would reset it, and the reset could overtake the last response.
     */
    private static final long LINGER_TIMEOUT_MILLIS = 1_000;

    /**
     * Time for which a new connection without a request does not count as idle. If it were closed earlier, a request that
     * is already on its way would get no response.
     */
    private static final long FIRST_REQUEST_GRACE_MILLIS = 2_000;

    private final String host;
    private final boolean overLimit;
    private final long readTimeoutMillis;
    private final RequestTracker requestTracker = new RequestTracker(this);
    private final long acceptedAtNanos = System.nanoTime();
    private volatile Option<ChannelHandlerContext> activeContext = Option.none();
    private Option<Future<?>> readTimeout = Option.none();
    private boolean awaitingFirstBytes = true;
    private boolean rejected;
    private boolean lingering;
    private boolean responseStarted;
    private boolean awaitingResponse;

    CallerConnection(String host, boolean overLimit, long readTimeoutMillis) {
        this.host = host;
        this.overLimit = overLimit;
        this.readTimeoutMillis = readTimeoutMillis;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (overLimit) {
            reject(context, Rejection.busy(host, "too many open connections"));
            return;
        }
        activeContext = Option.some(context);
        context.pipeline().addAfter(RATPACK_ENCODER_NAME, "request-watch", requestTracker);
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (rejected || lingering) {
            ReferenceCountUtil.release(bytes);
            context.read();
            return;
        }
        awaitingFirstBytes = false;
        if (readTimeout.isEmpty() && !awaitingResponse) {
            responseStarted = false;
            readTimeout = Option.some(context.executor()
                    .schedule(() -> onReadTimeout(context), readTimeoutMillis, TimeUnit.MILLISECONDS));
        }
        context.fireChannelRead(bytes);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (rejected) {
            ReferenceCountUtil.release(message);
            promise.setFailure(new ClosedChannelException());
            return;
        }
        responseStarted = true;
        awaitingResponse = false;
        context.write(message, promise);
    }

    /**
     * Shuts down the output first. Before an idle connection is closed, its socket is read once more: on a host whose
     * event loop was delayed, a request may be pending there although none has been read.
     */
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (lingering || !context.channel().isActive()) {
            context.close(promise);
        } else if (isIdle() && hasRequestAfterRead(context)) {
            promise.tryFailure(new IllegalStateException("a request is pending on the connection"));
        } else if (context.channel().isActive()) {
            linger(context, promise);
        } else {
            context.close(promise);
        }
    }

    /** Closes the connection if no byte of a request has arrived; may be called on any thread. */
    void closeIfIdle() {
        activeContext.forEach(context -> context.executor().execute(() -> closeIfIdle(context)));
    }

    private void closeIfIdle(ChannelHandlerContext context) {
        boolean mayStillSend = awaitingFirstBytes
                && System.nanoTime() - acceptedAtNanos < TimeUnit.MILLISECONDS.toNanos(FIRST_REQUEST_GRACE_MILLIS);
        if (isIdle() && !mayStillSend) {
            context.channel().close();
        }
    }

    /** Rejects a request of which only a part has arrived, as this host stops; may be called on any thread. */
    void rejectIfIncomplete() {
        activeContext.forEach(context -> context.executor().execute(() -> rejectIfIncomplete(context)));
    }

    private void rejectIfIncomplete(ChannelHandlerContext context) {
        if (!hasIncompleteRequest()) {
            return;
        }
        PendingInput.read(context.channel());
        if (context.channel().isActive() && hasIncompleteRequest()) {
            Logger.warn("caller: the stop rejects a request that has not arrived completely");
            reject(context, Rejection.busy(host, "this host is leaving, and the request has not arrived completely"));
        }
    }

    private boolean hasIncompleteRequest() {
        return readTimeout.isDefined() && !responseStarted && !rejected && !lingering;
    }

    private boolean isIdle() {
        return !rejected
                && !lingering
                && readTimeout.isEmpty()
                && !requestTracker.hasUnanswered()
                && !requestTracker.hasAnnouncedClose();
    }

    private boolean hasRequestAfterRead(ChannelHandlerContext context) {
        PendingInput.read(context.channel());
        return context.channel().isActive() && !isIdle();
    }

    private void linger(ChannelHandlerContext context, ChannelPromise promise) {
        lingering = true;
        cancelReadTimeout();
        ((SocketChannel) context.channel()).shutdownOutput();
        context.read();
        context.executor().schedule(() -> context.close(promise), LINGER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelReadTimeout();
        context.fireChannelInactive();
    }

    private void onReadTimeout(ChannelHandlerContext context) {
        if (responseStarted) {
            context.close();
            return;
        }
        reject(
                context,
                Rejection.invalid(
                        Rejection.REQUEST_TIMEOUT,
                        host,
                        "the request did not arrive completely within " + readTimeoutMillis + " ms"));
    }

    private void cancelReadTimeout() {
        readTimeout.forEach(timeout -> timeout.cancel(false));
        readTimeout = Option.none();
    }

    /** Called when a request has been received completely. */
    void requestReceived() {
        cancelReadTimeout();
        awaitingResponse = requestTracker.isAwaitingResponse();
    }

    /** Rejects a request that cannot be decoded. */
    void reject(Throwable cause) {
        activeContext.forEach(context -> reject(context, rejectionOf(cause)));
    }

    private Rejection rejectionOf(Throwable cause) {
        boolean headersTooLarge =
                cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return headersTooLarge
                ? Rejection.invalid(
                        Rejection.HEADERS_TOO_LARGE, host, "the request line or the headers exceed the size limit")
                : Rejection.invalid(Rejection.BAD_REQUEST, host, "the request is not valid HTTP");
    }

    private void reject(ChannelHandlerContext context, Rejection rejection) {
        rejected = true;
        context.writeAndFlush(encode(CallerResponses.of("", rejection)));
        linger(context, context.newPromise());
    }

    private static ByteBuf encode(CallerResponse response) {
        StringBuilder headerText =
                new StringBuilder("HTTP/1.1 ").append(response.status()).append(" Refused\r\n");
        for (Map.Entry<String, String> header : response.headers().entrySet()) {
            headerText
                    .append(header.getKey())
                    .append(": ")
                    .append(header.getValue())
                    .append("\r\n");
        }
        headerText.append("Content-Type: ").append(response.contentType()).append("\r\n");
        headerText.append("Content-Length: ").append(response.body().length).append("\r\n");
        headerText.append("Connection: close\r\n\r\n");
        return Unpooled.wrappedBuffer(headerText.toString().getBytes(StandardCharsets.US_ASCII), response.body());
    }
}
