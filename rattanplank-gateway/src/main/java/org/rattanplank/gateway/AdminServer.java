package org.rattanplank.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.rattanplank.gateway.http.ReadLimit;

/** Serves small in-memory responses such as readiness, entry hosts and metrics. Confined to the event loop. */
final class AdminServer {
    private static final int MAX_BODY_BYTES = 65_536;

    private AdminServer() {}

    /**
     * Binds a port and serves requests on it.
     *
     * @param group the event loop
     * @param address the address to bind
     * @param answers returns the response to a request
     */
    static void listen(EventLoopGroup group, InetSocketAddress address, Function<AdminRequest, AdminResponse> answers) {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReadLimit.ADMIN.allocator())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new Handler(answers));
                    }
                })
                .bind(address)
                .syncUninterruptibly();
    }

    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<AdminRequest, AdminResponse> answers;

        private Handler(Function<AdminRequest, AdminResponse> answers) {
            this.answers = answers;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            AdminResponse answer =
                    answers.apply(new AdminRequest(request.method().name(), request.uri()));
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.status()),
                    Unpooled.copiedBuffer(answer.body(), StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
            response.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            ChannelFuture write = context.writeAndFlush(response);
            if (!HttpUtil.isKeepAlive(request)) {
                write.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
