package org.rattanplank.gateway.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Option;

/**
 * Sends short requests to one address over persistent connections.
 *
 * <p>Invariants: each request completes once, with a complete response or none; it completes without a response when no
 * bytes are received for its timeout or when {@link #MAX_TIMEOUT_PERIODS} times its timeout has passed; a connection
 * whose response was not received, or on which bytes were received that no request awaits, is not reused. Confined to the event loop.
 */
public final class HttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 8_192;
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /**
     * How many times its timeout a request may take while bytes of its response are received: a large response may take
     * long over a slow link.
     */
    private static final int MAX_TIMEOUT_PERIODS = 8;

    private final EventLoopGroup group;
    private final InetSocketAddress address;
    private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
    private final HttpClientTraffic traffic = new HttpClientTraffic();

    /**
     * Creates a client.
     *
     * @param group the event loop
     * @param address the server
     */
    public HttpClient(EventLoopGroup group, InetSocketAddress address) {
        this.group = group;
        this.address = address;
    }

    /**
     * Returns the traffic of this client.
     *
     * @return the counters
     */
    public HttpClientTraffic traffic() {
        return traffic;
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param onResponse receives the response, or none if it was not received completely and in time
     */
    public void send(HttpClientRequest request, Consumer<Option<HttpClientResponse>> onResponse) {
        for (Connection idle = idleConnections.poll(); idle != null; idle = idleConnections.poll()) {
            if (idle.isUsable()) {
                idle.send(request, onResponse);
                return;
            }
        }
        Connection connection = new Connection();
        connection.open(request, onResponse);
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Consumer<Option<HttpClientResponse>> responseHandler;
        private ScheduledFuture<?> timeout;
        private int periodsLeft;
        private boolean bytesReceived;
        private boolean reusable;

        private void open(HttpClientRequest request, Consumer<Option<HttpClientResponse>> onResponse) {
            responseHandler = onResponse;
            channel = new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.RCVBUF_ALLOCATOR, ReadLimit.STORE.allocator())
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel socket) {
                            socket.pipeline()
                                    .addLast(new ByteCountHandler(Connection.this::recordReceived))
                                    .addLast(new HttpRequestEncoder())
                                    .addLast(new ResponseDecoder(
                                            MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, () -> false))
                                    .addLast(new ResponseCollector(MAX_RESPONSE_BYTES))
                                    .addLast(Connection.this);
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            write(request);
                        } else {
                            complete(Option.none());
                        }
                    })
                    .channel();
            startTimeout(request);
        }

        /** Reads first: the end of the connection, or bytes that no request awaits, may be pending. */
        private boolean isUsable() {
            PendingInput.read(channel);
            return channel.isActive();
        }

        private void recordReceived(int count) {
            if (responseHandler == null) {
                // They could be taken for the response to the next request.
                channel.close();
            }
            bytesReceived = true;
            traffic.recordReceived(count);
        }

        private void send(HttpClientRequest request, Consumer<Option<HttpClientResponse>> onResponse) {
            responseHandler = onResponse;
            startTimeout(request);
            write(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (responseHandler == null) {
                context.close();
                return;
            }
            if (!isDelimited(response) && !response.content().isReadable()) {
                // It may have ended before its body began.
                context.close();
                complete(Option.none());
                return;
            }
            HttpClientResponse complete = new HttpClientResponse(
                    response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content()));
            reusable = HttpUtil.isKeepAlive(response) && isDelimited(response);
            if (!reusable) {
                context.close();
            }
            complete(Option.some(complete));
        }

        /** Becomes idle only after all that was read with the response, as more than the response may have been. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (reusable && context.channel().isActive()) {
                idleConnections.push(this);
            }
            reusable = false;
            context.fireChannelReadComplete();
        }

        private static boolean isDelimited(FullHttpResponse response) {
            int status = response.status().code();
            return HttpUtil.isContentLengthSet(response)
                    || HttpUtil.isTransferEncodingChunked(response)
                    || status == HttpResponseStatus.NO_CONTENT.code()
                    || status == HttpResponseStatus.NOT_MODIFIED.code();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idleConnections.remove(this);
            complete(Option.none());
        }

        private void startTimeout(HttpClientRequest request) {
            periodsLeft = MAX_TIMEOUT_PERIODS;
            scheduleTimeout(request);
        }

        private void scheduleTimeout(HttpClientRequest request) {
            bytesReceived = false;
            timeout = group.next()
                    .schedule(() -> timeoutElapsed(request), request.timeoutMillis(), TimeUnit.MILLISECONDS);
        }

        private void timeoutElapsed(HttpClientRequest request) {
            // After a pause of the process the response may not have been read yet: the store would seem unreachable
            // although
            // it has responded.
            Consumer<Option<HttpClientResponse>> expired = responseHandler;
            PendingInput.read(channel);
            if (responseHandler != expired) {
                return;
            }
            periodsLeft--;
            if (bytesReceived && periodsLeft > 0) {
                scheduleTimeout(request);
                return;
            }
            // The connection may be dead, which nothing but the timeout shows.
            fail();
        }

        /** Completes the request first, as the decoder takes the close for the end of a response without a length. */
        private void fail() {
            complete(Option.none());
            channel.close();
        }

        private void write(HttpClientRequest request) {
            DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(request.method()),
                    request.uri(),
                    Unpooled.wrappedBuffer(request.body()));
            message.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            if (request.body().length > 0) {
                message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
                message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
            }
            long startNanos = System.nanoTime();
            channel.writeAndFlush(message).addListener(written -> {
                traffic.recordWritten(
                        request.body().length, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
                if (!written.isSuccess()) {
                    fail();
                }
            });
        }

        private void complete(Option<HttpClientResponse> response) {
            Consumer<Option<HttpClientResponse>> handler = responseHandler;
            responseHandler = null;
            if (timeout != null) {
                timeout.cancel(false);
                timeout = null;
            }
            if (handler != null) {
                handler.accept(response);
            }
        }
    }
}
