package org.rattanplank.gateway.http;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(60)
class ReadLimitTest {
    private static final int SENT_BYTES = 4 << 20;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicInteger maxBytesPerTurn = new AtomicInteger();
    private final CountDownLatch allReceived = new CountDownLatch(1);

    /** Guards against one connection that is read for as long as its sender fills it. */
    @ParameterizedTest
    @EnumSource
    void shouldReadNoMoreThanItsLimitWhenMoreHasBeenReceived(ReadLimit limit) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Channel channel = connect(limit, (InetSocketAddress) server.getLocalSocketAddress());
            try (Socket socket = server.accept()) {
                OutputStream out = socket.getOutputStream();
                out.write(new byte[SENT_BYTES]);
                allReceived.await();
            }
            channel.close().syncUninterruptibly();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }

        assertTrue(maxBytesPerTurn.get() <= limit.bytesPerTurn(), "bytes: " + maxBytesPerTurn);
    }

    private Channel connect(ReadLimit limit, InetSocketAddress address) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, limit.allocator())
                .handler(new SimpleChannelInboundHandler<ByteBuf>() {
                    private int turnBytes;
                    private int allBytes;

                    @Override
                    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
                        turnBytes += bytes.readableBytes();
                        allBytes += bytes.readableBytes();
                        if (allBytes == SENT_BYTES) {
                            allReceived.countDown();
                        }
                    }

                    @Override
                    public void channelReadComplete(ChannelHandlerContext context) {
                        maxBytesPerTurn.accumulateAndGet(turnBytes, Math::max);
                        turnBytes = 0;
                    }
                })
                .connect(address)
                .syncUninterruptibly()
                .channel();
    }
}
