package org.rattanplank.standins.link;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

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
 * A relay of TCP connections that can be cut, delayed or made silent.
 *
 * <p>Invariant: the bytes of one direction of one connection keep their order; what a silent direction swallows never
 * arrives. Thread safe.
 */
public final class Link {
    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
    private volatile LinkState state = LinkState.up();
    private volatile InetSocketAddress address;

    private Link(EventLoop loop, InetSocketAddress target) {
        this.loop = loop;
        this.target = target;
    }

    /**
     * Opens a relay on a port that the system chooses.
     *
     * @param loop the loop that serves it
     * @param target where it leads to
     * @return the relay
     */
    public static Link open(EventLoop loop, InetSocketAddress target) {
        Link link = new Link(loop, target);
        Channel server = new ServerBootstrap()
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
        link.address = (InetSocketAddress) server.localAddress();
        return link;
    }

    /**
     * The relay's own address.
     *
     * @return the address as IP:PORT
     */
    public String address() {
        return Addresses.write(address);
    }

    /**
     * Changes how the relay treats connections from now on.
     *
     * @param newer the new state; one that is cut resets all connections
     */
    public void state(LinkState newer) {
        state = newer;
        if (newer.resetsConnections()) {
            channels.forEach(Link::reset);
        }
    }

    /** Makes the connections that are open now silent for good, while new ones work. */
    public void silenceOpenConnections() {
        channels.forEach(channel -> channel.attr(ConnectionAttributes.DROPS_BYTES).set(Boolean.TRUE));
    }

    private void accept(SocketChannel near) {
        if (state.resetsConnections()) {
            reset(near);
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(loop.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new Forwarder(near, false));
        Channel far = bootstrap.connect(target).channel();
        channels.add(near);
        channels.add(far);
        near.closeFuture().addListener(closed -> channels.remove(near));
        far.closeFuture().addListener(closed -> channels.remove(far));
        near.pipeline().addLast(new Forwarder(far, true));
        far.closeFuture().addListener(closed -> near.close());
        near.closeFuture().addListener(closed -> far.close());
    }

    /** Resets a connection, which may have closed already. */
    static void reset(Channel channel) {
        channel.eventLoop().execute(() -> {
            // The socket of a channel that has closed takes no option and throws: a cut that meets a connection which
            // ends just then would fail the cut itself. Only the channel's own loop can tell, as channels close there.
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        });
    }

    /** Passes one direction on. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final boolean fromNear;

        private Forwarder(Channel other, boolean fromNear) {
            this.other = other;
            this.fromNear = fromNear;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (!fromNear) {
                context.channel().config().setAutoRead(true);
                other.config().setAutoRead(true);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            boolean muted =
                    Boolean.TRUE.equals(context.channel().attr(ConnectionAttributes.DROPS_BYTES).get());
            if (muted || (fromNear ? state.dropsForward() : state.dropsBackward())) {
                ReferenceCountUtil.release(bytes);
            } else if (state.delayMillis() > 0) {
                loop.schedule(state.delayMillis(), () -> other.writeAndFlush(bytes));
            } else {
                other.writeAndFlush(bytes);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            reset(context.channel());
        }
    }
}
