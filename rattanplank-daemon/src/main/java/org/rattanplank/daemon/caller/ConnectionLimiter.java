package org.rattanplank.daemon.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Limits the connections of callers before Ratpack handles them: their number, and the time within which a request must
 * arrive.
 *
 * <p>Ratpack has no such limits: a caller that opens many connections, or sends its requests byte by byte, could use up
 * all connections and lock out other callers. Thread safe.
 */
@ChannelHandler.Sharable
final class ConnectionLimiter extends ChannelInboundHandlerAdapter {
    private final String host;
    private final int maxConnections;
    private final long readTimeoutMillis;
    private final AtomicInteger openConnections = new AtomicInteger();
    private final Set<CallerConnection> openHandlers = ConcurrentHashMap.newKeySet();
    private final AtomicLong acceptedConnections = new AtomicLong();

    ConnectionLimiter(String host, int maxConnections, long readTimeoutMillis) {
        this.host = host;
        this.maxConnections = maxConnections;
        this.readTimeoutMillis = readTimeoutMillis;
    }

    long acceptedConnections() {
        return acceptedConnections.get();
    }

    int openConnections() {
        return openConnections.get();
    }

    /** Closes the connections without a request. */
    void closeIdleConnections() {
        openHandlers.forEach(CallerConnection::closeIfIdle);
    }

    /** Rejects the requests of which only a part has arrived. */
    void rejectIncompleteRequests() {
        openHandlers.forEach(CallerConnection::rejectIfIncomplete);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        Channel channel = (Channel) connection;
        acceptedConnections.incrementAndGet();
        boolean overLimit = openConnections.incrementAndGet() > maxConnections;
        CallerConnection handler = new CallerConnection(host, overLimit, readTimeoutMillis);
        openHandlers.add(handler);
        channel.closeFuture().addListener(closed -> {
            openHandlers.remove(handler);
            openConnections.decrementAndGet();
        });
        channel.pipeline().addFirst(handler);
        context.fireChannelRead(connection);
    }
}
