package org.rattanplank.daemon.peer;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.vavr.control.Try;
import org.rattanplank.daemon.call.Calls;
import org.rattanplank.daemon.runtime.Events;
import ratpack.util.internal.TransportDetector;

/** The port for other entry hosts. Thread safe. */
public final class PeerServer implements AutoCloseable {
    private final Channel channel;
    private final AtomicInteger unsentAnswers;
    private final Set<PeerConnection> open;

    private PeerServer(Channel channel, AtomicInteger unsentAnswers, Set<PeerConnection> open) {
        this.channel = channel;
        this.unsentAnswers = unsentAnswers;
        this.open = open;
    }

    /**
     * Opens the port.
     *
     * @param address the IP address
     * @param port the port, zero for a free one
     * @param loops Ratpack's event loops
     * @param links the links, whose settings the connections share
     * @param calls the requests in flight
     * @param events hears what happens
     * @return the server, or why the port cannot be opened
     */
    public static Try<PeerServer> open(
            String address, int port, EventLoopGroup loops, Links links, Calls calls, Events events) {
        LinkContext context = links.context();
        AtomicInteger connections = new AtomicInteger();
        AtomicInteger unsent = new AtomicInteger();
        Set<PeerConnection> open = ConcurrentHashMap.newKeySet();
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(TransportDetector.getServerSocketChannelImpl())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, context.waterMark())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.closeFuture().addListener(done -> connections.decrementAndGet());
                        if (connections.incrementAndGet() > context.sizes().maxConnections()) {
                            child.close();
                            return;
                        }
                        PeerConnection connection = new PeerConnection(context, calls, events, unsent);
                        open.add(connection);
                        child.closeFuture().addListener(done -> open.remove(connection));
                        connection.addTo(child.pipeline(), context.sizes().maxFrameBytes());
                    }
                });
        return Try.of(() -> new PeerServer(bootstrap.bind(address, port).sync().channel(), unsent, open));
    }

    /**
     * The port that is open.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Counts the answers to other hosts that have not gone out.
     *
     * @return the number
     */
    public int unsentAnswers() {
        return unsentAnswers.get();
    }

    /**
     * Takes no more connections, and ends those that carry no request, each after a last look at what has come over it.
     *
     * @return whether all have ended
     */
    public boolean end() {
        channel.close();
        open.forEach(PeerConnection::endIfIdle);
        return open.isEmpty();
    }

    @Override
    public void close() {
        channel.close();
    }
}
