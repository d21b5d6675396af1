package org.rattanplank.gateway.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.rattanplank.core.gateway.CallerLimits;
import org.rattanplank.gateway.http.Headers;
import org.rattanplank.gateway.http.WaitingBytes;

/**
 * One caller's connection, which carries one request at a time.
 *
 * <p>Invariants: a request is handed on only when it is whole and sound; each gets one answer, or the connection ends;
 * an answer that broke off never ends like a whole one; a connection that this host ends by itself has no request of its
 * caller before its end. Confined to the event loop.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** A caller that reads so little of its answer is cut off: its bytes would fill this process's memory. */
    private static final int MAX_UNREAD_BYTES = 4 << 20;

    /**
     * How long a connection stays after its sending half has ended. Closed at once, what its caller still sends would
     * reset it, and the reset could overtake the last answer: the caller would see neither the answer nor the end.
     */
    static final long LINGER_MILLIS = 300;

    /**
     * Who has connected and sent nothing yet is about to: its connection is not idle for so long, the longest way there
     * and back. Ended sooner, its request would cross the end and get no answer.
     */
    private static final long FRESH_MILLIS = 500;

    private final CallerServer server;
    private final CallerLimits bounds;
    private Channel channel;
    private HttpRequest head;
    private List<ByteBuf> parts = new ArrayList<>();
    private int bodyBytes;
    private CallerCall call;
    private boolean keepAlive = true;
    private boolean unsound;
    private boolean closing;
    private boolean halfClosed;
    private boolean headOnly;
    private long quietSinceMillis;
    private boolean receiving;
    private boolean fresh = true;
    private long firstByteAtMillis;
    private long readMillis;

    CallerConnection(CallerServer server, CallerLimits bounds) {
        this.server = server;
        this.bounds = bounds;
    }

    /**
     * Tells whether the caller is still there.
     *
     * @return whether nothing shows that it left
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * How long the request took to come.
     *
     * @return milliseconds from its first byte to its last
     */
    public long readMillis() {
        return readMillis;
    }

    /**
     * Answers the request whole.
     *
     * @param status the status
     * @param headers headers besides those of the connection
     * @param body the body
     */
    public void answer(int status, HttpHeaders headers, ByteBuf body) {
        HttpHeaders all = Headers.unchecked().add(headers);
        boolean bodiless =
                status == HttpResponseStatus.NO_CONTENT.code() || status == HttpResponseStatus.NOT_MODIFIED.code();
        if (!headOnly && !bodiless) {
            all.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.readableBytes()));
        }
        setConnection(all);
        write(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body, all, EmptyHttpHeaders.INSTANCE));
        answered();
    }

    /**
     * Begins an answer whose end is not known yet.
     *
     * @param status the status
     * @param headers headers besides those of the connection
     */
    public void begin(int status, HttpHeaders headers) {
        HttpHeaders all = Headers.unchecked().add(headers);
        all.remove(HttpHeaderNames.CONTENT_LENGTH);
        all.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnection(all);
        channel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), all));
    }

    /**
     * Sends a part of an answer that was begun.
     *
     * @param bytes the part
     */
    public void part(ByteBuf bytes) {
        write(new DefaultHttpContent(bytes));
        if (channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_UNREAD_BYTES) {
            breakOff();
        }
    }

    /** Ends an answer that was begun and is whole. */
    public void end() {
        write(LastHttpContent.EMPTY_LAST_CONTENT);
        answered();
    }

    /** Ends an answer that was begun and is not whole: the connection ends where the next part should come. */
    public void breakOff() {
        closing = true;
        call = null;
        channel.close();
    }

    /**
     * Ends the connection if nothing of a request has come. Whether it has is known only after a read in this very step:
     * without it a request that waits in the socket would be cut off, and the caller would see the connection end instead
     * of an answer. What comes later, across the end on its way, is left unread, so that it surely did not run.
     */
    void endIfIdle() {
        boolean expected = fresh && server.nowMillis() - quietSinceMillis < FRESH_MILLIS;
        if (!isIdle() || expected) {
            return;
        }
        WaitingBytes.read(channel);
        if (isIdle()) {
            channel.config().setAutoRead(false);
            halfClose();
        } else if (channel.isActive()) {
            server.foundWaiting();
        }
    }

    boolean isHalfClosed() {
        return halfClosed;
    }

    private boolean isIdle() {
        return call == null && head == null && !receiving && !closing && channel.isActive();
    }

    void tick(long nowMillis) {
        if (call != null || nowMillis - quietSinceMillis <= leastTimeoutMillis()) {
            return;
        }
        if (closing) {
            // Its caller doesn't take the last answer.
            channel.close();
            return;
        }
        WaitingBytes.read(channel);
        long quietMillis = nowMillis - quietSinceMillis;
        if (call != null || closing || !channel.isActive()) {
            return;
        }
        if (head != null && quietMillis > bounds.idleTimeoutMillis()
                || head == null && receiving && quietMillis > bounds.headerTimeoutMillis()) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (quietMillis > bounds.idleTimeoutMillis()) {
            endIfIdle();
        }
    }

    private long leastTimeoutMillis() {
        return receiving && head == null && !closing ? bounds.headerTimeoutMillis() : bounds.idleTimeoutMillis();
    }

    /** Ends the sending half behind all that was written, and the rest a moment later or when the caller has. */
    private void halfClose() {
        if (halfClosed) {
            return;
        }
        halfClosed = true;
        closing = true;
        ((SocketChannel) channel).shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        quietSinceMillis = server.nowMillis();
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        dropParts();
        CallerCall left = call;
        call = null;
        if (left != null) {
            left.callerLeft();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /** Notes raw bytes, of which a head may be made up that isn't whole yet. */
    void bytesCame() {
        fresh = false;
        if (!receiving) {
            receiving = true;
            quietSinceMillis = server.nowMillis();
            firstByteAtMillis = quietSinceMillis;
        } else if (head != null) {
            quietSinceMillis = server.nowMillis();
        }
    }

    /** Notes a head whose two statements of its length contradict each other. */
    void ambiguousLength() {
        unsound = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (!closing) {
                read(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (call != null) {
            // A second request before the first has its answer: these callers wait for answers, so it was hidden behind
            // the first one's body. It is left unread and the connection ends with the answer.
            keepAlive = false;
            return;
        }
        if (message instanceof HttpRequest request) {
            readHead(request);
        }
        if (message instanceof HttpContent content && head != null && !closing) {
            readBody(content);
        }
    }

    private void readHead(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            refuse(statusOf(request.decoderResult().cause()));
            return;
        }
        if (unsound) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        head = request;
        headOnly = request.method().name().equals("HEAD");
        keepAlive = HttpUtil.isKeepAlive(request);
        if (HttpUtil.getContentLength(request, 0L) > bounds.maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            write(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void readBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        bodyBytes += content.content().readableBytes();
        if (bodyBytes > bounds.maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (content.content().isReadable()) {
            parts.add(content.content().retain());
        }
        if (content instanceof LastHttpContent) {
            handOn();
        }
    }

    private void handOn() {
        byte[] body = new byte[bodyBytes];
        int at = 0;
        for (ByteBuf part : parts) {
            int length = part.readableBytes();
            part.readBytes(body, at, length);
            at += length;
        }
        dropParts();
        HttpRequest whole = head;
        head = null;
        readMillis = server.nowMillis() - firstByteAtMillis;
        server.received(this, whole, body, started -> call = started);
    }

    private void refuse(HttpResponseStatus status) {
        dropParts();
        keepAlive = false;
        headOnly = false;
        answer(status.code(), EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER);
        server.refused(status.code());
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    private void dropParts() {
        parts.forEach(ByteBuf::release);
        parts.clear();
        bodyBytes = 0;
    }

    private void setConnection(HttpHeaders headers) {
        if (!keepAlive || server.isStopping()) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            closing = true;
        }
    }

    private ChannelFuture write(Object message) {
        return channel.writeAndFlush(message);
    }

    private void answered() {
        call = null;
        receiving = false;
        quietSinceMillis = server.nowMillis();
        if (closing) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> halfClose());
        }
    }
}
