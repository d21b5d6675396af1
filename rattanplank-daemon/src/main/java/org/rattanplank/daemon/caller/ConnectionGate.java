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
 * Stands before Ratpack at the callers' port and bounds the connections: their number, and the time that a request may
 * take to arrive.
 *
 * <p>Ratpack has no such bounds: a caller who opens connections without end, or sends a byte now and then, would take
 * every connection from the others. Thread safe.
 */
@ChannelHandler.Sharable
final class ConnectionGate extends ChannelInboundHandlerAdapter {
    private final String host;
    private final int maxConnections;
    private final long readTimeoutMillis;
    private final AtomicInteger connections = new AtomicInteger();
    private final Set<CallerConnection> open = ConcurrentHashMap.newKeySet();
    private final AtomicLong accepted = new AtomicLong();

    ConnectionGate(String host, int maxConnections, long readTimeoutMillis) {
        this.host = host;
        this.maxConnections = maxConnections;
        this.readTimeoutMillis = readTimeoutMillis;
    }

    long accepted() {
        return accepted.get();
    }

    int connections() {
        return connections.get();
    }

    /** Ends the connections that carry no request. */
    void endIdle() {
        open.forEach(CallerConnection::endIfIdle);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        Channel child = (Channel) connection;
        accepted.incrementAndGet();
        boolean full = connections.incrementAndGet() > maxConnections;
        CallerConnection caller = new CallerConnection(host, full, readTimeoutMillis);
        open.add(caller);
        child.closeFuture().addListener(closed -> {
            open.remove(caller);
            connections.decrementAndGet();
        });
        child.pipeline().addFirst(caller);
        context.fireChannelRead(connection);
    }
}
