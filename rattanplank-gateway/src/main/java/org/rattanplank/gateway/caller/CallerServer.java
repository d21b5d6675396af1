package org.rattanplank.gateway.caller;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.rattanplank.core.gateway.CallerLimits;
import org.rattanplank.gateway.MonotonicClock;
import org.rattanplank.gateway.http.ByteWatch;
import org.rattanplank.gateway.http.WaitingBytes;

/**
 * The port for callers.
 *
 * <p>Invariant: while the process stops, requests on open and new connections are still answered, each with the word
 * that its connection ends; no connection is ended before a request that has come over it. Confined to the event loop but for {@link #listen}.
 */
public final class CallerServer {
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** What a connection may be read at a stretch before others get their turn; as many as the library does by itself. */
    private static final int MOST_READS = 16;

    /** Callers open connections in bursts; a full queue delays each by a second. */
    private static final int BACKLOG = 1_024;

    private final EventLoopGroup group;
    private final MonotonicClock clock;
    private final Supplier<CallerLimits> bounds;
    private final CallHandler handler;
    private final IntConsumer refused;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel port;
    private long opened;
    private long requestsFoundWaiting;
    private boolean stopping;

    /**
     * Makes a server that doesn't listen yet.
     *
     * @param group the event loop
     * @param clock the clock
     * @param bounds what callers may send now
     * @param handler takes whole requests
     * @param refused told the status of each unsound request
     */
    public CallerServer(
            EventLoopGroup group,
            MonotonicClock clock,
            Supplier<CallerLimits> bounds,
            CallHandler handler,
            IntConsumer refused) {
        this.group = group;
        this.clock = clock;
        this.bounds = bounds;
        this.handler = handler;
        this.refused = refused;
    }

    /**
     * Listens for callers.
     *
     * @param address where
     */
    public void listen(InetSocketAddress address) {
        port = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, toTheEnd())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        CallerConnection connection = new CallerConnection(CallerServer.this, bounds.get());
                        channel.pipeline()
                                .addLast(new ByteWatch(bytes -> connection.bytesCame()))
                                .addLast(new RequestDecoder(bounds.get(), connection))
                                .addLast(new HttpResponseEncoder())
                                .addLast(connection);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Ends each connection with its next answer from now on. */
    public void stop() {
        stopping = true;
    }

    /** Reads on until nothing is left, so that the end of a connection is seen together with its last request. */
    private static RecvByteBufAllocator toTheEnd() {
        return new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MOST_READS);
    }

    /**
     * Takes no new connections. Those that wait to be accepted are taken first: the system would reset them, and with
     * them the requests that were sent already.
     */
    public void closePort() {
        long before;
        do {
            before = opened;
            WaitingBytes.read(port);
        } while (opened > before);
        port.close();
    }

    /** Ends the connections that carry no request. */
    public void endIdle() {
        List.copyOf(connections).forEach(CallerConnection::endIfIdle);
    }

    /**
     * Counts the connections that have not ended.
     *
     * @return the number, those included whose last answer is on its way
     */
    public int connections() {
        return connections.size();
    }

    /**
     * Tells whether nothing can come from callers any more.
     *
     * @return whether each connection has at least its sending half ended
     */
    public boolean haveEnded() {
        return connections.stream().allMatch(CallerConnection::isHalfClosed);
    }

    /**
     * Counts the requests that had come when their connection was about to be ended as idle.
     *
     * @return the number since the start
     */
    public long requestsFoundWaiting() {
        return requestsFoundWaiting;
    }

    /** Closes connections that were idle, or slow to send a head, for too long. */
    public void tick() {
        long now = clock.nowMillis();
        List.copyOf(connections).forEach(connection -> connection.tick(now));
    }

    boolean isStopping() {
        return stopping;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    void opened(CallerConnection connection) {
        opened++;
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    void foundWaiting() {
        requestsFoundWaiting++;
    }

    void refused(int status) {
        refused.accept(status);
    }

    void received(CallerConnection connection, HttpRequest head, byte[] body, Consumer<CallerCall> taker) {
        handler.received(connection, head, body, taker);
    }

    /** Takes whole requests of callers. */
    public interface CallHandler {
        /**
         * A request came.
         *
         * @param connection where its answer goes
         * @param head its head
         * @param body its whole body
         * @param taker takes the call before it can end
         */
        void received(CallerConnection connection, HttpRequest head, byte[] body, Consumer<CallerCall> taker);
    }

    /** Tells a connection of a request that states its length twice, in which another one could hide. */
    private static final class RequestDecoder extends HttpRequestDecoder {
        private final CallerConnection connection;

        private RequestDecoder(CallerLimits bounds, CallerConnection connection) {
            super(bounds.maxHeaderBytes(), bounds.maxHeaderBytes(), MAX_CHUNK_BYTES);
            this.connection = connection;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            connection.ambiguousLength();
            super.handleTransferEncodingChunkedWithContentLength(message);
        }
    }
}
