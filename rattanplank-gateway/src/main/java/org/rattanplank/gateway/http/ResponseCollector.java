package org.rattanplank.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.rattanplank.core.response.JoinedHead;

/**
 * Collects the parts of a response into a whole one, whose bytes are copied a bounded number of times however many
 * chunks they come in.
 *
 * <p>Netty's aggregator adds up components and copies all of them at each 1,024th, so that many small chunks cost the
 * square of their number. Invariants: an informational response is passed over; a response that is malformed, whose head or
 * trailers may be made of two, or that is larger than the limit closes its connection and is not passed on. Confined to the
 * event loop.
 */
final class ResponseCollector extends SimpleChannelInboundHandler<HttpObject> {
    private final int maxBodyBytes;
    private HttpResponse head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    ResponseCollector(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            context.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            if (isInterim(response)) {
                return;
            }
            if (isUnsound(response)) {
                context.close();
                return;
            }
            head = response;
            body = Unpooled.buffer();
        }
        if (head == null || !(message instanceof HttpContent content)) {
            return;
        }
        if (body.readableBytes() + content.content().readableBytes() > maxBodyBytes) {
            head = null;
            context.close();
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent end) {
            if (JoinedHead.isJoined("", end.trailingHeaders())) {
                head = null;
                context.close();
                return;
            }
            DefaultFullHttpResponse whole = new DefaultFullHttpResponse(
                    head.protocolVersion(), head.status(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
            head = null;
            context.fireChannelRead(whole);
        }
    }

    /** Returns whether a head may be made of two, or be the rest of one. */
    private static boolean isUnsound(HttpResponse response) {
        return !response.protocolVersion().protocolName().equals(HttpVersion.HTTP_1_1.protocolName())
                || JoinedHead.isJoined(response.status().reasonPhrase(), response.headers());
    }

    /** Returns whether the final response to the same request still follows; the end of an interim one has no head here. */
    private static boolean isInterim(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }
}
