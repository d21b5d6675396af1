package org.rattanplank.standins.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * A single-threaded event loop that serves any number of HTTP ports and timers.
 *
 * <p>Invariant: handlers and timers run one at a time on the loop's thread, so that state that they share needs no lock.
 * Thread safe.
 */
public final class EventLoop implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final EventLoopGroup group = new NioEventLoopGroup(1);

    private EventLoop() {}

    /**
     * Starts an event loop.
     *
     * @return the event loop
     */
    public static EventLoop of() {
        return new EventLoop();
    }

    /**
     * Starts serving a port of the loopback address.
     *
     * @param port the port, zero for an ephemeral port
     * @param handler the handler of the calls
     * @return the address that is served
     */
    public InetSocketAddress serve(int port, Handler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new Dispatcher(handler));
                    }
                });
        Channel channel = bootstrap
                .bind(InetAddress.getLoopbackAddress(), port)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Schedules a task.
     *
     * @param delayMillis the delay
     * @param task the task
     */
    public void schedule(long delayMillis, Runnable task) {
        group.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Schedules a task periodically at a fixed rate.
     *
     * @param periodMillis the period
     * @param task the task
     */
    public void scheduleAtFixedRate(long periodMillis, Runnable task) {
        group.scheduleAtFixedRate(task, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the group of threads, for uses other than HTTP.
     *
     * @return the group, which has one thread
     */
    public EventLoopGroup group() {
        return group;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static final class Dispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Handler handler;

        private Dispatcher(Handler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            handler.handle(Exchange.of(context.channel(), request));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
