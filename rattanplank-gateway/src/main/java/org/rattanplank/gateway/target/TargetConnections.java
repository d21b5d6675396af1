package org.rattanplank.gateway.target;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.rattanplank.core.gateway.Choice;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.gateway.HeaderNames;
import org.rattanplank.gateway.SteadyClock;

/**
 * Connections to targets that are kept for the next request.
 *
 * <p>A new connection holds one of the target's slots for a moment; kept ones save that on nearly every request.
 * Invariant: an idle connection is closed before the target would close it. Confined to the event loop.
 */
public final class TargetConnections {
    /** A live target in the same region accepts within some milliseconds; a silent one must not hold its caller long. */
    private static final int CONNECT_MILLIS = 500;

    /**
     * The part of the idle time within which a connection carries a request that may run only once: a connection that
     * the target closes just then leaves the outcome unknown.
     */
    private static final double IDLE_PART_ONCE = 0.5;

    private static final int MAX_LINE_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final Bootstrap bootstrap;
    private final HeaderNames names;
    private final SteadyClock clock;
    private final Map<GatewayTarget, ArrayDeque<TargetConnection>> idle = new HashMap<>();
    private final Map<TargetConnection, GatewayTarget> targets = new HashMap<>();
    private long opened;

    /**
     * Makes an empty store of connections.
     *
     * @param group the event loop
     * @param names the names of headers
     * @param clock the clock
     */
    public TargetConnections(EventLoopGroup group, HeaderNames names, SteadyClock clock) {
        this.names = names;
        this.clock = clock;
        bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
    }

    /**
     * Sends a request to a target.
     *
     * @param choice the target
     * @param call the request
     * @param once whether it may run only once
     * @param listener hears how it goes
     * @return the attempt
     */
    public Attempt send(Choice choice, TargetCall call, boolean once, AttemptListener listener) {
        GatewayTarget target = choice.target();
        TargetAttempt attempt = new TargetAttempt(choice, call, names, listener, clock);
        TargetConnection kept = take(target, once ? IDLE_PART_ONCE : 1);
        if (kept != null) {
            attempt.start(kept);
            return attempt;
        }
        open(target, attempt);
        return attempt;
    }

    /**
     * Closes idle connections that have waited long enough.
     */
    public void tick() {
        long now = clock.nowMillis();
        idle.values().removeIf(connections -> {
            for (Iterator<TargetConnection> each = connections.iterator(); each.hasNext(); ) {
                TargetConnection connection = each.next();
                if (connection.isExpired(now)) {
                    each.remove();
                    connection.drop();
                }
            }
            return connections.isEmpty();
        });
    }

    /**
     * Ends all connections to a run of a target that is over. A target that crashed behind a cut resets nothing: requests
     * that wait there would wait until their time is up, though it is known that nobody works on them.
     *
     * @param target the run
     */
    public void end(GatewayTarget target) {
        idle.remove(target);
        List.copyOf(targets.entrySet()).stream()
                .filter(each -> each.getValue() == target)
                .forEach(each -> each.getKey().abandon("the target has started again"));
    }

    /**
     * Connections opened so far.
     *
     * @return how many
     */
    public long opened() {
        return opened;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    void release(TargetConnection connection) {
        GatewayTarget target = targets.get(connection);
        if (target == null || target.isLeaving()) {
            connection.drop();
            return;
        }
        idle.computeIfAbsent(target, each -> new ArrayDeque<>()).push(connection);
    }

    void closed(TargetConnection connection) {
        GatewayTarget target = targets.remove(connection);
        if (target != null) {
            ArrayDeque<TargetConnection> connections = idle.get(target);
            if (connections != null) {
                connections.remove(connection);
            }
        }
    }

    private TargetConnection take(GatewayTarget target, double partOfIdle) {
        ArrayDeque<TargetConnection> connections = idle.get(target);
        while (connections != null && !connections.isEmpty()) {
            TargetConnection newest = connections.pop();
            if (newest.isUsable(partOfIdle, clock.nowMillis())) {
                return newest;
            }
            newest.drop();
        }
        return null;
    }

    private void open(GatewayTarget target, TargetAttempt attempt) {
        TargetConnection connection = new TargetConnection(names.requestId(), this);
        opened++;
        InetSocketAddress address =
                new InetSocketAddress(target.entry().ip(), target.entry().port());
        Channel channel = bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socket) {
                        socket.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(new AnswerDecoder(connection))
                                .addLast(connection);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (done.isSuccess() && target.hasEnded()) {
                        connection.drop();
                        attempt.notConnected(new ConnectException("the target has started again"));
                    } else if (done.isSuccess()) {
                        targets.put(connection, target);
                        attempt.start(connection);
                    } else {
                        attempt.notConnected(done.cause());
                    }
                })
                .channel();
        connection.opened(channel);
        attempt.connecting(channel);
    }

    /** Knows that the answer to a HEAD request has no body whatever its headers say. */
    private static final class AnswerDecoder extends HttpResponseDecoder {
        private final TargetConnection connection;

        private AnswerDecoder(TargetConnection connection) {
            super(MAX_LINE_BYTES, MAX_LINE_BYTES, MAX_CHUNK_BYTES);
            this.connection = connection;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return connection.isHeadRequest() && message instanceof HttpResponse || super.isContentAlwaysEmpty(message);
        }
    }
}
