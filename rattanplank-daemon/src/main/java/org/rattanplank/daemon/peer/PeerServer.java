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
import org.rattanplank.daemon.runtime.EventSink;
import org.rattanplank.gateway.http.ReadLimit;
import ratpack.util.internal.TransportDetector;

/** Accepts connections from other entry hosts. Thread safe. */
public final class PeerServer implements AutoCloseable {
    private final Channel channel;
    private final AtomicInteger unsentResponses;
    private final Set<PeerConnection> open;

    private PeerServer(Channel channel, AtomicInteger unsentResponses, Set<PeerConnection> open) {
        this.channel = channel;
        this.unsentResponses = unsentResponses;
        this.open = open;
    }

    /**
     * Binds the port and starts to accept connections.
     *
     * @param address the IP address
     * @param port the port, zero for an ephemeral one
     * @param loops Ratpack's event loops
     * @param links the links, whose settings the connections share
     * @param calls the table of requests in flight
     * @param eventSink receives the events of all connections
     * @return the server, or the reason why the port cannot be bound
     */
    public static Try<PeerServer> open(
            String address, int port, EventLoopGroup loops, Links links, Calls calls, EventSink eventSink) {
        LinkContext context = links.context();
        AtomicInteger connections = new AtomicInteger();
        AtomicInteger unsent = new AtomicInteger();
        Set<PeerConnection> open = ConcurrentHashMap.newKeySet();
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(TransportDetector.getServerSocketChannelImpl())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReadLimit.HOST.allocator())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, context.waterMark())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.closeFuture().addListener(done -> connections.decrementAndGet());
                        if (connections.incrementAndGet() > context.sizes().maxConnections()) {
                            child.close();
                            return;
                        }
                        PeerConnection connection = new PeerConnection(context, calls, eventSink, unsent);
                        open.add(connection);
                        child.closeFuture().addListener(done -> open.remove(connection));
                        connection.addTo(child.pipeline());
                    }
                });
        return Try.of(() -> new PeerServer(bootstrap.bind(address, port).sync().channel(), unsent, open));
    }

    /**
     * Returns the bound port.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Returns the number of responses to other hosts that have not been written yet.
     *
     * @return the number
     */
    public int unsentResponses() {
        return unsentResponses.get();
    }

    /**
     * Stops accepting connections and closes those without a request in flight, each after reading what is still
     * buffered in its socket.
     *
     * @return whether all connections are closed
     */
    public boolean closeIdleConnections() {
        channel.close();
        open.forEach(PeerConnection::closeIfIdle);
        return open.isEmpty();
    }

    @Override
    public void close() {
        channel.close();
    }
}
