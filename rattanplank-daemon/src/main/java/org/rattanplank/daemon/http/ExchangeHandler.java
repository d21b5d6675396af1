package org.rattanplank.daemon.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes one request and reads its answer.
 *
 * <p>Invariants: the listener hears one end; an answer whose length is unknown never counts as whole, since a cut one
 * would look the same. Confined to the channel's event loop but for {@link #silence}.
 */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final ExchangeCall call;
    private final ExchangeListener listener;
    private boolean handedOver;
    private volatile boolean over;

    ExchangeHandler(ExchangeCall call, ExchangeListener listener) {
        this.call = call;
        this.listener = listener;
    }

    void silence() {
        over = true;
    }

    void notConnected(Throwable cause) {
        fail(Failures.reasonOf(cause));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.path(),
                Unpooled.wrappedBuffer(call.body()));
        call.headers().forEach((name, value) -> request.headers().set(name, value));
        request.headers().set(HttpHeaderNames.HOST, call.address() + ":" + call.port());
        if (call.body().length > 0 || !call.method().equals("GET")) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        handedOver = true;
        context.writeAndFlush(request).addListener(written -> {
            if (!written.isSuccess()) {
                fail(Failures.reasonOf(written.cause()));
                context.close();
            }
        });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (over) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            fail("the answer is not sound HTTP");
            context.close();
            return;
        }
        if (part instanceof HttpResponse response && !head(response)) {
            context.close();
            return;
        }
        if (part instanceof HttpContent content && content.content().isReadable()) {
            listener.content(ByteBufUtil.getBytes(content.content()));
        }
        if (part instanceof LastHttpContent && !over) {
            over = true;
            listener.ended();
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("the connection ended before the answer did");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(Failures.reasonOf(cause));
        context.close();
    }

    private boolean head(HttpResponse response) {
        int status = response.status().code();
        boolean bodiless = call.method().equals("HEAD")
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code();
        if (!bodiless && !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)) {
            fail("the answer does not say where it ends");
            return false;
        }
        listener.head(status, response.headers());
        return true;
    }

    private void fail(String reason) {
        if (over) {
            return;
        }
        over = true;
        listener.failed(handedOver, reason);
    }
}
