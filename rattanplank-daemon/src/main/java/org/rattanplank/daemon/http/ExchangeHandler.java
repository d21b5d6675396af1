package org.rattanplank.daemon.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.rattanplank.core.response.JoinedHead;

/**
 * Writes one request and reads its response.
 *
 * <p>Invariants: the listener is notified of one end at most, and neither of an informational response nor of two heads in
 * one; at most {@link #MAX_PRECEDING_BYTES} are read before the head of the response; a body that is no event stream
 * and has neither a length nor chunks never counts as complete, since a truncated one would look the same. Confined to
 * the channel's event loop except for {@link #detach}.
 */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {
    /** More than informational responses have; a server may send such bytes until its connection is closed. */
    private static final int MAX_PRECEDING_BYTES = 256 << 10;

    private static final String EVENT_STREAM = HttpHeaderValues.TEXT_EVENT_STREAM.toString();

    private final ExchangeRequest request;
    private final ExchangeListener listener;
    private boolean maybeSent;
    private boolean informational;
    private boolean responding;
    private int precedingBytes;
    private volatile boolean ended;

    ExchangeHandler(ExchangeRequest request, ExchangeListener listener) {
        this.request = request;
        this.listener = listener;
    }

    void detach() {
        ended = true;
    }

    /** Counts bytes before they are decoded, as the decoder passes over some in silence. */
    void bytesReceived(Channel channel, int count) {
        if (responding) {
            return;
        }
        precedingBytes += count;
        if (precedingBytes > MAX_PRECEDING_BYTES) {
            fail("the server sends bytes that are no response");
            channel.close();
        }
    }

    void connectFailed(Throwable cause) {
        fail(ConnectionFailures.reasonOf(cause));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        DefaultFullHttpRequest httpRequest = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.path(),
                Unpooled.wrappedBuffer(request.body()));
        request.headers().forEach((name, value) -> httpRequest.headers().set(name, value));
        httpRequest.headers().set(HttpHeaderNames.HOST, request.address() + ":" + request.port());
        if (request.body().length > 0 || !request.method().equals("GET")) {
            httpRequest.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        maybeSent = true;
        context.writeAndFlush(httpRequest).addListener(written -> {
            if (!written.isSuccess()) {
                fail(ConnectionFailures.reasonOf(written.cause()));
                context.close();
            }
        });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (ended) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("the response is not valid HTTP");
            context.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (!handleHeaders(response)) {
                context.close();
                return;
            }
        }
        if (informational) {
            return;
        }
        if (message instanceof HttpContent content && content.content().isReadable()) {
            listener.contentReceived(ByteBufUtil.getBytes(content.content()));
        }
        if (message instanceof LastHttpContent && !ended) {
            ended = true;
            listener.ended();
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("the connection closed before the response was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(ConnectionFailures.reasonOf(cause));
        context.close();
    }

    private boolean handleHeaders(HttpResponse response) {
        if (JoinedHead.isJoined(response.status().reasonPhrase(), response.headers())) {
            fail("the head of the response contains the status line of another one");
            return false;
        }
        int status = response.status().code();
        if (status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            fail("the response switches to another protocol");
            return false;
        }
        if (informational) {
            return true;
        }
        responding = true;
        boolean bodiless = request.isHeadRequest()
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code();
        // The closing event of a stream tells its listener whether it is complete.
        boolean eventStream = status == HttpResponseStatus.OK.code()
                && response.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith(EVENT_STREAM);
        if (!bodiless
                && !eventStream
                && !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response)) {
            fail("the response has neither a content length nor chunked encoding");
            return false;
        }
        listener.headersReceived(status, response.headers());
        return true;
    }

    private void fail(String reason) {
        if (ended) {
            return;
        }
        ended = true;
        listener.failed(maybeSent, reason);
    }
}
