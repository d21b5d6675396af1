package org.rattanplank.gateway.caller;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ObjIntConsumer;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.rattanplank.core.gateway.CallerLimits;
import org.rattanplank.core.gateway.MemoryBudget;
import org.rattanplank.gateway.MonotonicClock;
import org.rattanplank.gateway.http.ByteCountHandler;
import org.rattanplank.gateway.http.ListeningPort;
import org.rattanplank.gateway.http.ReadLimit;

/**
 * The HTTP server for callers.
 *
 * <p>Invariant: while the process stops, requests on open and new connections are still answered, each with
 * {@code Connection: close}; no connection is closed before a request that it has received is answered. Confined to the
 * event loop, except for {@link #listen}.
 */
public final class CallerServer {
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** Callers open connections in bursts, and a full accept queue delays each connection by a second. */
    private static final int ACCEPT_BACKLOG = 1_024;

    private final EventLoopGroup group;
    private final MonotonicClock clock;
    private final Supplier<CallerLimits> limits;
    private final RequestHandler handler;
    private final ObjIntConsumer<String> requestRejected;
    private final MemoryBudget bodyMemory;
    private final MemoryBudget unsentMemory;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel serverChannel;
    private long opened;
    private long requestsFoundPending;
    private boolean stopping;

    /**
     * Creates a server that does not listen yet.
     *
     * @param group the event loop
     * @param clock the clock
     * @param limits supplies the limits that currently apply to callers
     * @param handler receives complete requests
     * @param requestRejected receives the reason and the status of each request that is rejected before it is handled
     * @param bodyMemory the memory for the bodies of requests
     * @param unsentMemory the memory for responses that their callers have not read
     */
    public CallerServer(
            EventLoopGroup group,
            MonotonicClock clock,
            Supplier<CallerLimits> limits,
            RequestHandler handler,
            ObjIntConsumer<String> requestRejected,
            MemoryBudget bodyMemory,
            MemoryBudget unsentMemory) {
        this.group = group;
        this.clock = clock;
        this.limits = limits;
        this.handler = handler;
        this.requestRejected = requestRejected;
        this.bodyMemory = bodyMemory;
        this.unsentMemory = unsentMemory;
    }

    /**
     * Listens for callers.
     *
     * @param address the address to bind
     */
    public void listen(InetSocketAddress address) {
        serverChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReadLimit.CALLER.allocator())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        CallerConnection connection = new CallerConnection(CallerServer.this, limits.get());
                        channel.pipeline()
                                .addLast(new ByteCountHandler(bytes -> connection.bytesReceived()))
                                .addLast(new RequestDecoder(limits.get(), connection))
                                .addLast(new HttpResponseEncoder())
                                .addLast(connection);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Closes each connection with its next response from now on. */
    public void stop() {
        stopping = true;
    }

    /**
     * Stops accepting connections. Those in the accept queue are accepted first: the operating system would reset them,
     * together with requests that were sent already.
     */
    public void closeListener() {
        ListeningPort.close(serverChannel, () -> opened);
    }

    /**
     * Returns whether the port is closed, so that no connection is accepted any more.
     *
     * @return whether it is
     */
    public boolean isListenerClosed() {
        return !serverChannel.isOpen();
    }

    /** Closes the connections that carry no request. */
    public void closeIdleConnections() {
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Rejects the requests of which only a part has been received, as this host is stopping. */
    public void rejectIncompleteRequests() {
        List.copyOf(connections).forEach(CallerConnection::rejectIfIncomplete);
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number, including connections whose last response is in transit
     */
    public int connections() {
        return connections.size();
    }

    /**
     * Returns whether no further requests can be accepted from callers.
     *
     * @return whether every connection closes after its last response
     */
    public boolean acceptsNoRequests() {
        return connections.stream().allMatch(CallerConnection::acceptsNoRequests);
    }

    /**
     * Returns the number of requests that were found pending when their connection was about to be closed as idle.
     *
     * @return the number since the start
     */
    public long requestsFoundPending() {
        return requestsFoundPending;
    }

    /** Closes connections that exceeded the idle timeout or the timeout for sending headers. */
    public void closeTimedOutConnections() {
        long now = clock.nowMillis();
        List.copyOf(connections).forEach(connection -> connection.closeIfTimedOut(now));
    }

    boolean isStopping() {
        return stopping;
    }

    MemoryBudget bodyMemory() {
        return bodyMemory;
    }

    MemoryBudget unsentMemory() {
        return unsentMemory;
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

    void requestFoundPending() {
        requestsFoundPending++;
    }

    void requestRejected(String reason, int status) {
        requestRejected.accept(reason, status);
    }

    void requestReceived(
            CallerConnection connection, HttpRequest request, byte[] body, Consumer<CallerRequest> onStart) {
        handler.requestReceived(connection, request, body, onStart);
    }

    /** Handles complete requests of callers. */
    public interface RequestHandler {
        /**
         * Handles a request.
         *
         * @param connection the connection that the response is sent over
         * @param request its request line and headers
         * @param body its complete body
         * @param onStart receives the request in progress before it can end
         */
        void requestReceived(
                CallerConnection connection, HttpRequest request, byte[] body, Consumer<CallerRequest> onStart);
    }

    /**
     * Detects requests with both a Content-Length and a chunked encoding, which could be used for request smuggling.
     */
    private static final class RequestDecoder extends HttpRequestDecoder {
        private final CallerConnection connection;

        private RequestDecoder(CallerLimits limits, CallerConnection connection) {
            super(limits.maxHeaderBytes(), limits.maxHeaderBytes(), MAX_CHUNK_BYTES);
            this.connection = connection;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            connection.markLengthAmbiguous();
            super.handleTransferEncodingChunkedWithContentLength(message);
        }
    }
}
