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
 * Stands behind the codec of a caller's connection, where the ends of requests and replies and their faults can be seen.
 *
 * <p>Invariant: a request counts as unanswered from its head until its reply has left whole. Confined to the channel's
 * event loop.
 */
final class RequestWatch extends ChannelDuplexHandler {
    private final CallerConnection connection;
    private int unanswered;
    private boolean lastReply;

    RequestWatch(CallerConnection connection) {
        this.connection = connection;
    }

    boolean hasUnanswered() {
        return unanswered > 0;
    }

    /** Whether a reply has told the caller that the connection ends with it. */
    boolean toldTheEnd() {
        return lastReply;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        if (part instanceof HttpRequest request) {
            if (request.decoderResult().isFailure()) {
                connection.refuse(request.decoderResult().cause());
                ReferenceCountUtil.release(part);
                return;
            }
            unanswered++;
        }
        if (part instanceof LastHttpContent) {
            connection.requestEnded();
        }
        context.fireChannelRead(part);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        boolean interim = message instanceof HttpResponse response && response.status() == HttpResponseStatus.CONTINUE;
        if (message instanceof HttpResponse response) {
            lastReply |= response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        }
        if (message instanceof LastHttpContent && !interim) {
            context.write(message, promise.unvoid()).addListener(left -> unanswered--);
            return;
        }
        context.write(message, promise);
    }
}
