package org.rattanplank.gateway.caller;

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
import org.rattanplank.core.response.RetryAfter;
import org.rattanplank.gateway.http.Headers;
import org.rattanplank.gateway.http.PendingInput;

/**
 * A caller's connection, which carries one request at a time.
 *
 * <p>Invariants: a request is dispatched only when it is complete and well-formed; each request gets one response, or
 * the connection is closed; an aborted response never ends like a complete one; a connection that this host closes on
 * its own initiative holds no unread request of its caller; the memory that bodies and unsent responses take is bounded
 * over all connections. Confined to the event loop.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {
    /**
     * A caller with more unsent response bytes than this is disconnected, because they would fill the process's memory.
     */
    private static final int MAX_UNSENT_BYTES = 4 << 20;

    /**
     * How long the caller has sent nothing when a connection is closed whose output has been shut down. If it were
     * closed sooner, data that the caller still sends would cause a reset, which could overtake the last response: the
     * caller would see neither the response nor the end of the connection.
     */
    static final long LINGER_MILLIS = 300;

    /**
     * The longest time for which such a connection stays open, and the usual one if a request was rejected before its
     * body was received: many callers read their response only when they have sent all.
     */
    private static final long UPLOAD_LINGER_MILLIS = 5_000;

    /**
     * How long a new connection without any bytes does not count as idle: the longest network round trip. If it were
     * closed sooner, the caller's first request could cross the close and get no response.
     */
    private static final long FIRST_REQUEST_GRACE_MILLIS = 500;

    /** Other hosts accept the request that this one no longer does. */
    private static final String RETRY_AFTER_STOP_SECONDS = "0";

    private final CallerServer server;
    private final CallerLimits limits;
    private final RequestBody requestBody;
    private Channel channel;
    private HttpRequest incompleteRequest;
    /** The bytes of response chunks that have not left this host. */
    private long unsentBytes;

    private CallerRequest activeRequest;
    private String closeReason = "the caller closed its connection";
    private boolean keepAlive = true;
    private boolean lengthAmbiguous;
    private boolean closing;
    private boolean halfClosed;
    private boolean headRequest;
    private boolean receivedWhileLingering;
    private long idleSinceMillis;
    private boolean receivingRequest;
    private boolean awaitingFirstByte = true;
    private long firstByteAtMillis;
    private long receiveMillis;

    CallerConnection(CallerServer server, CallerLimits limits) {
        this.server = server;
        this.limits = limits;
        requestBody = new RequestBody(server.bodyMemory(), limits.maxBodyBytes(), server::nowMillis);
    }

    /**
     * Returns whether the caller is still connected.
     *
     * @return whether the connection is active
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Returns how long it took to receive the request.
     *
     * @return milliseconds from its first byte to its last
     */
    public long receiveMillis() {
        return receiveMillis;
    }

    /**
     * Sends a complete response.
     *
     * @param status the status
     * @param headers headers besides those of the connection
     * @param body the body
     */
    public void respond(int status, HttpHeaders headers, ByteBuf body) {
        HttpHeaders all = Headers.unchecked().add(headers);
        boolean bodiless =
                status == HttpResponseStatus.NO_CONTENT.code() || status == HttpResponseStatus.NOT_MODIFIED.code();
        if (!headRequest && !bodiless) {
            all.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.readableBytes()));
        }
        setConnectionHeader(all);
        write(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body, all, EmptyHttpHeaders.INSTANCE));
        responseEnded();
    }

    /**
     * Begins a chunked response whose length is not known yet.
     *
     * @param status the status
     * @param headers headers besides those of the connection
     */
    public void beginResponse(int status, HttpHeaders headers) {
        HttpHeaders all = Headers.unchecked().add(headers);
        all.remove(HttpHeaderNames.CONTENT_LENGTH);
        all.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnectionHeader(all);
        channel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), all));
    }

    /**
     * Sends a chunk of a response that was begun; closes the connection if its caller reads too slowly for the memory
     * that is left.
     *
     * @param bytes the chunk, which is released
     */
    public void sendChunk(ByteBuf bytes) {
        int length = bytes.readableBytes();
        if (unsentBytes + length > MAX_UNSENT_BYTES
                || !server.unsentMemory().tryGrow(unsentBytes, unsentBytes + length)) {
            bytes.release();
            // The request ends with its connection, so that its target doesn't go on responding to nobody.
            closing = true;
            closeReason = "the caller does not read its response";
            channel.close();
            return;
        }
        unsentBytes += length;
        write(new DefaultHttpContent(channel.isWritable() ? bytes : copied(bytes)))
                .addListener(written -> {
                    unsentBytes -= length;
                    server.unsentMemory().release(length, server.nowMillis());
                });
    }

    /** Copies bytes that have to wait, as the buffers in which they were received are few and may be much larger. */
    private static ByteBuf copied(ByteBuf bytes) {
        try {
            return Unpooled.copiedBuffer(bytes);
        } finally {
            bytes.release();
        }
    }

    /** Ends a response that was begun and is complete. */
    public void endResponse() {
        write(LastHttpContent.EMPTY_LAST_CONTENT);
        responseEnded();
    }

    /** Aborts a response that was begun and is incomplete, by closing the connection in place of the next chunk. */
    public void abortResponse() {
        closing = true;
        activeRequest = null;
        requestBody.release();
        channel.close();
    }

    /**
     * Closes the connection if no part of a request has been received. This is known only after reading the socket in
     * the same event loop task: otherwise a request that is pending in the socket would be lost, and the caller would
     * see the connection close instead of a response. Requests that arrive later are left unread, so that they
     * definitely did not run.
     */
    void closeIfIdle() {
        boolean firstRequestExpected =
                awaitingFirstByte && server.nowMillis() - idleSinceMillis < FIRST_REQUEST_GRACE_MILLIS;
        if (!isIdle() || firstRequestExpected) {
            return;
        }
        PendingInput.read(channel);
        if (isIdle()) {
            channel.config().setAutoRead(false);
            closing = true;
            halfCloseWhenSent();
        } else if (channel.isActive()) {
            server.requestFoundPending();
        }
    }

    /**
     * Rejects a request of which only a part has been received, so that its caller can send it to another host at once.
     * The socket is read before, as the rest may be pending there.
     */
    void rejectIfIncomplete() {
        if (!isReceiving()) {
            return;
        }
        PendingInput.read(channel);
        if (isReceiving()) {
            HttpHeaders headers = Headers.unchecked().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_STOP_SECONDS);
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, "this host is stopping");
        }
    }

    private boolean isReceiving() {
        return activeRequest == null && receivingRequest && !closing && channel.isActive();
    }

    /**
     * Returns whether no further request of the caller is read, though its last response may not have left this host.
     */
    boolean acceptsNoRequests() {
        return closing && activeRequest == null;
    }

    private boolean isIdle() {
        return activeRequest == null
                && incompleteRequest == null
                && !receivingRequest
                && !closing
                && channel.isActive();
    }

    void closeIfTimedOut(long nowMillis) {
        if (activeRequest != null || nowMillis - idleSinceMillis <= applicableTimeoutMillis()) {
            return;
        }
        if (closing) {
            // The caller does not read the last response.
            channel.close();
            return;
        }
        PendingInput.read(channel);
        long idleMillis = nowMillis - idleSinceMillis;
        if (activeRequest != null || closing || !channel.isActive()) {
            return;
        }
        if (incompleteRequest != null && idleMillis > limits.idleTimeoutMillis()
                || incompleteRequest == null && receivingRequest && idleMillis > limits.headerTimeoutMillis()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (idleMillis > limits.idleTimeoutMillis()) {
            closeIfIdle();
        }
    }

    private long applicableTimeoutMillis() {
        return receivingRequest && incompleteRequest == null && !closing
                ? limits.headerTimeoutMillis()
                : limits.idleTimeoutMillis();
    }

    /** Shuts down the output; closes the connection when the caller does, or sends nothing more. */
    private void halfClose() {
        if (halfClosed) {
            return;
        }
        halfClosed = true;
        closing = true;
        ((SocketChannel) channel).shutdownOutput();
        receivedWhileLingering = false;
        closeWhenQuiet(server.nowMillis() + UPLOAD_LINGER_MILLIS);
    }

    private void closeWhenQuiet(long lastMillis) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (receivedWhileLingering && server.nowMillis() < lastMillis) {
                                receivedWhileLingering = false;
                                closeWhenQuiet(lastMillis);
                            } else {
                                channel.close();
                            }
                        },
                        lingerMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private long lingerMillis() {
        return incompleteRequest == null || server.isStopping() ? LINGER_MILLIS : UPLOAD_LINGER_MILLIS;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        idleSinceMillis = server.nowMillis();
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        requestBody.release();
        CallerRequest abandoned = activeRequest;
        activeRequest = null;
        if (abandoned != null) {
            abandoned.callerDisconnected(closeReason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeReason = "the caller's connection failed: " + cause;
        context.close();
    }

    /** Records that raw bytes were received, which may belong to headers that are not complete yet. */
    void bytesReceived() {
        awaitingFirstByte = false;
        receivedWhileLingering = true;
        if (!receivingRequest) {
            receivingRequest = true;
            idleSinceMillis = server.nowMillis();
            firstByteAtMillis = idleSinceMillis;
        } else if (incompleteRequest != null) {
            idleSinceMillis = server.nowMillis();
        }
    }

    /** Marks the request as having both a Content-Length and a chunked encoding, which contradict each other. */
    void markLengthAmbiguous() {
        lengthAmbiguous = true;
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
        if (activeRequest != null) {
            // A second request before the first has its response: callers do not pipeline, so it was smuggled behind
            // the
            // body of the first. It is left unread, and the connection is closed with the response.
            keepAlive = false;
            return;
        }
        if (message instanceof HttpRequest request) {
            readHeaders(request);
        }
        if (message instanceof HttpContent content && incompleteRequest != null && !closing) {
            readBody(content);
        }
    }

    private void readHeaders(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            reject(statusOf(request.decoderResult().cause()));
            return;
        }
        if (lengthAmbiguous) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        incompleteRequest = request;
        headRequest = request.method().name().equals("HEAD");
        keepAlive = HttpUtil.isKeepAlive(request);
        long contentLength = HttpUtil.getContentLength(request, 0L);
        if (!requestBody.isAllowed(contentLength)) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (!requestBody.begin(contentLength)) {
            rejectForMemory(0);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            write(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void readBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        int bytes = content.content().readableBytes();
        if (!requestBody.isAllowed(requestBody.receivedBytes() + bytes)) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (!requestBody.tryAppend(content.content())) {
            rejectForMemory(bytes);
            return;
        }
        if (content instanceof LastHttpContent) {
            dispatch();
        }
    }

    private void dispatch() {
        HttpRequest request = incompleteRequest;
        incompleteRequest = null;
        receiveMillis = server.nowMillis() - firstByteAtMillis;
        server.requestReceived(this, request, requestBody.take(), started -> activeRequest = started);
    }

    private void reject(HttpResponseStatus status) {
        reject(status, EmptyHttpHeaders.INSTANCE, "malformed request");
    }

    /** Rejects a request as soon as it is known that there is no room for its body. */
    private void rejectForMemory(int partBytes) {
        long waitMillis = requestBody.waitMillis(partBytes, limits.idleTimeoutMillis());
        HttpHeaders headers = Headers.unchecked().set(HttpHeaderNames.RETRY_AFTER, RetryAfter.text(waitMillis));
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, "no memory is left for the body");
    }

    private void reject(HttpResponseStatus status, HttpHeaders headers, String reason) {
        keepAlive = false;
        headRequest = false;
        respond(status.code(), headers, Unpooled.EMPTY_BUFFER);
        server.requestRejected(reason, status.code());
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    private void setConnectionHeader(HttpHeaders headers) {
        if (!keepAlive || server.isStopping()) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            closing = true;
        }
    }

    private ChannelFuture write(Object message) {
        return channel.writeAndFlush(message);
    }

    private void responseEnded() {
        activeRequest = null;
        requestBody.release();
        receivingRequest = false;
        idleSinceMillis = server.nowMillis();
        if (closing) {
            halfCloseWhenSent();
        }
    }

    /** Shuts down the output after all that was written, as a shutdown discards what has not left this process. */
    private void halfCloseWhenSent() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> halfClose());
    }
}
