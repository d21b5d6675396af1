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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Option;

/**
 * Makes short calls to one address over connections that are kept.
 *
 * <p>Invariants: each call ends once, with a whole answer or none, when nothing came for its limit or it has taken
 * {@link #MOST_LIMITS} times as long; a connection whose answer did not come is not used again. Confined to the event loop.
 */
public final class HttpCaller {
    private static final int CONNECT_MILLIS = 1_000;
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    /** How many times its limit a call may take while bytes of its answer come: a large one may fill a small link. */
    private static final int MOST_LIMITS = 8;

    private final EventLoopGroup group;
    private final InetSocketAddress address;
    private final ArrayDeque<Handler> idle = new ArrayDeque<>();
    private final CallTraffic traffic = new CallTraffic();

    /**
     * Makes a caller.
     *
     * @param group the event loop
     * @param address whom to call
     */
    public HttpCaller(EventLoopGroup group, InetSocketAddress address) {
        this.group = group;
        this.address = address;
    }

    /**
     * What the calls carry.
     *
     * @return the count of bytes
     */
    public CallTraffic traffic() {
        return traffic;
    }

    /**
     * Makes a call.
     *
     * @param call the call
     * @param reply takes the answer, or none if it didn't come whole or in time
     */
    public void send(HttpCall call, Consumer<Option<HttpReply>> reply) {
        Handler kept = idle.poll();
        if (kept != null) {
            kept.send(call, reply);
            return;
        }
        Handler fresh = new Handler();
        fresh.open(call, reply);
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Consumer<Option<HttpReply>> waiting;
        private ScheduledFuture<?> limit;
        private int limitsLeft;
        private boolean came;

        private void open(HttpCall call, Consumer<Option<HttpReply>> reply) {
            waiting = reply;
            channel = new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel socket) {
                            socket.pipeline()
                                    .addLast(new ByteWatch(Handler.this::bytesCame))
                                    .addLast(new HttpClientCodec())
                                    .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
                                    .addLast(Handler.this);
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            write(call);
                        } else {
                            end(Option.none());
                        }
                    })
                    .channel();
            startLimit(call);
        }

        private void bytesCame(int count) {
            came = true;
            traffic.received(count);
        }

        private void send(HttpCall call, Consumer<Option<HttpReply>> reply) {
            waiting = reply;
            startLimit(call);
            write(call);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (waiting == null) {
                context.close();
                return;
            }
            boolean keep =
                    HttpUtil.isKeepAlive(response) && response.decoderResult().isSuccess();
            HttpReply reply = new HttpReply(response.status().code(), ByteBufUtil.getBytes(response.content()));
            if (keep) {
                idle.push(this);
            } else {
                context.close();
            }
            end(response.decoderResult().isSuccess() ? Option.some(reply) : Option.none());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(this);
            end(Option.none());
        }

        private void startLimit(HttpCall call) {
            limitsLeft = MOST_LIMITS;
            runLimit(call);
        }

        private void runLimit(HttpCall call) {
            came = false;
            limit = group.next().schedule(() -> timeUp(call), call.limitMillis(), TimeUnit.MILLISECONDS);
        }

        private void timeUp(HttpCall call) {
            // A host that stood still may not have read the answer yet: the store would seem lost though it answers.
            Consumer<Option<HttpReply>> late = waiting;
            WaitingBytes.read(channel);
            if (waiting != late) {
                return;
            }
            limitsLeft--;
            if (came && limitsLeft > 0) {
                runLimit(call);
                return;
            }
            // The connection may have gone silent for good, with no sign but this.
            channel.close();
            end(Option.none());
        }

        private void write(HttpCall call) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(call.method()),
                    call.uri(),
                    Unpooled.wrappedBuffer(call.body()));
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            if (call.body().length > 0) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            }
            long beganNanos = System.nanoTime();
            channel.writeAndFlush(request)
                    .addListener(written -> traffic.written(
                            call.body().length, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos)));
        }

        private void end(Option<HttpReply> reply) {
            Consumer<Option<HttpReply>> taker = waiting;
            waiting = null;
            if (limit != null) {
                limit.cancel(false);
                limit = null;
            }
            if (taker != null) {
                taker.accept(reply);
            }
        }
    }
}
