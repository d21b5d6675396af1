package org.rattanplank.daemon.caller;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Tracks the requests and responses on a caller's connection. It is placed behind the HTTP codec, where their ends and
 * decoding errors are visible.
 *
 * <p>Invariant: a request counts as unanswered from the arrival of its headers until its response has been sent
 * completely. Confined to the channel's event loop.
 */
final class RequestTracker extends ChannelDuplexHandler {
    private final CallerConnection connection;
    private int unanswered;
    private int awaitingResponse;
    private boolean closeAnnounced;

    RequestTracker(CallerConnection connection) {
        this.connection = connection;
    }

    boolean hasUnanswered() {
        return unanswered > 0;
    }

    /**
     * Returns whether a request has no response yet; its headers may be written before the request has arrived
     * completely.
     */
    boolean isAwaitingResponse() {
        return awaitingResponse > 0;
    }

    /** Returns whether a response has announced the close of the connection. */
    boolean hasAnnouncedClose() {
        return closeAnnounced;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request) {
            if (request.decoderResult().isFailure()) {
                connection.reject(request.decoderResult().cause());
                ReferenceCountUtil.release(message);
                return;
            }
            unanswered++;
            awaitingResponse++;
        }
        if (message instanceof LastHttpContent) {
            connection.requestReceived();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        boolean informational =
                message instanceof HttpResponse response && response.status() == HttpResponseStatus.CONTINUE;
        if (message instanceof HttpResponse response) {
            awaitingResponse -= informational ? 0 : 1;
            closeAnnounced |=
                    response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        }
        if (message instanceof LastHttpContent && !informational) {
            context.write(message, promise.unvoid()).addListener(written -> unanswered--);
            return;
        }
        context.write(message, promise);
    }
}
