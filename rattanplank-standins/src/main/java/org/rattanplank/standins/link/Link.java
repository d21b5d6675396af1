package org.rattanplank.standins.link;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;

/**
 * A TCP proxy that can reset, delay or black-hole its connections, to simulate network faults.
 *
 * <p>Invariant: the bytes of one direction of one connection keep their order; bytes that are dropped are never
 * delivered later. Thread safe.
 */
public final class Link {
    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
    private volatile LinkState state = LinkState.up();
    private volatile InetSocketAddress address;
    private volatile Channel server;

    private Link(EventLoop loop, InetSocketAddress target) {
        this.loop = loop;
        this.target = target;
    }

    /**
     * Opens a link on an ephemeral port.
     *
     * @param loop the event loop that serves it
     * @param target the address to which it forwards
     * @return the link
     */
    public static Link open(EventLoop loop, InetSocketAddress target) {
        Link link = new Link(loop, target);
        link.server = new ServerBootstrap()
                .group(loop.group())
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        link.accept(channel);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
        link.address = (InetSocketAddress) link.server.localAddress();
        return link;
    }

    /**
     * Returns the address at which the link accepts connections.
     *
     * @return the address as IP:PORT
     */
    public String address() {
        return Addresses.format(address);
    }

    /**
     * Changes how the link treats connections from now on.
     *
     * @param newState the new state; a partitioned one also resets all open connections
     */
    public void state(LinkState newState) {
        state = newState;
        if (newState.resetsConnections()) {
            channels.forEach(Link::reset);
        }
    }

    /** Drops all further bytes of the connections that are open now, while new connections work. */
    public void dropBytesOfOpenConnections() {
        channels.forEach(
                channel -> channel.attr(ConnectionAttributes.DROPS_BYTES).set(Boolean.TRUE));
    }

    /** Refuses connections from now on and resets the open ones, as when the process behind the link ends. */
    public void crash() {
        server.close().addListener(closed -> channels.forEach(Link::reset));
    }

    /** Refuses connections from now on and ends the open ones in order, as when a process without unread bytes is killed. */
    public void kill() {
        server.close().addListener(closed -> channels.forEach(Channel::close));
    }

    /** Refuses connections from now on while the open ones go on, as when the process behind the link shuts down in order. */
    public void closePort() {
        server.close();
    }

    private void accept(SocketChannel clientSide) {
        if (state.resetsConnections()) {
            reset(clientSide);
            return;
        }
        Forwarder fromTarget = new Forwarder(clientSide, false);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(fromTarget);
        Channel targetSide = bootstrap.connect(target).channel();
        Forwarder fromClient = new Forwarder(targetSide, true);
        channels.add(clientSide);
        channels.add(targetSide);
        clientSide.closeFuture().addListener(closed -> channels.remove(clientSide));
        targetSide.closeFuture().addListener(closed -> channels.remove(targetSide));
        clientSide.pipeline().addLast(fromClient);
        targetSide.closeFuture().addListener(closed -> fromTarget.endOther());
        clientSide.closeFuture().addListener(closed -> fromClient.endOther());
    }

    /** Resets a connection, which may have closed already. */
    static void reset(Channel channel) {
        channel.eventLoop().execute(() -> {
            // Setting an option on a closed socket throws, so that a connection which closes concurrently would make
            // state() fail. Only the channel's own event loop can check this reliably, as channels are closed there.
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        });
    }

    /** Forwards the bytes of one direction. Confined to the event loop. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final boolean fromClient;
        private final Queue<Object> delayed = new ArrayDeque<>();
        private long lastWriteAtNanos;
        private boolean incomplete;
        private boolean ended;

        private Forwarder(Channel other, boolean fromClient) {
            this.other = other;
            this.fromClient = fromClient;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (!fromClient) {
                context.channel().config().setAutoRead(true);
                other.config().setAutoRead(true);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            boolean dropsBytes = Boolean.TRUE.equals(
                    context.channel().attr(ConnectionAttributes.DROPS_BYTES).get());
            if (dropsBytes || (fromClient ? state.dropsForward() : state.dropsBackward())) {
                incomplete = true;
                ReferenceCountUtil.release(bytes);
            } else if (state.delayMillis() > 0 || !delayed.isEmpty()) {
                writeLater(bytes);
            } else {
                other.writeAndFlush(bytes);
            }
        }

        /** Writes bytes after their delay, but not before the delayed bytes that were received earlier. */
        private void writeLater(Object bytes) {
            long now = System.nanoTime();
            long untilLastWriteNanos = delayed.isEmpty() ? 0 : Math.max(0, lastWriteAtNanos - now);
            long delayNanos = Math.max(TimeUnit.MILLISECONDS.toNanos(state.delayMillis()), untilLastWriteNanos);
            lastWriteAtNanos = now + delayNanos;
            delayed.add(bytes);
            loop.group().schedule(this::writeDelayed, delayNanos, TimeUnit.NANOSECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            incomplete = true;
            reset(context.channel());
        }

        /**
         * Ends the other side as this one has ended: after its last byte, or by a reset if that was reset or bytes were
         * dropped. An orderly end would tell that nothing is missing.
         */
        private void endOther() {
            if (incomplete) {
                reset(other);
            } else if (delayed.isEmpty()) {
                other.close();
            } else {
                ended = true;
            }
        }

        private void writeDelayed() {
            other.writeAndFlush(delayed.remove());
            if (ended && delayed.isEmpty()) {
                other.close();
            }
        }
    }
}
