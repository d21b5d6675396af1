package org.rattanplank.gateway.target;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;
import org.rattanplank.core.gateway.ConnectResult;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.TargetChoice;
import org.rattanplank.gateway.HeaderNames;
import org.rattanplank.gateway.MonotonicClock;
import org.rattanplank.gateway.http.ByteCountHandler;
import org.rattanplank.gateway.http.ChunkMerger;
import org.rattanplank.gateway.http.PendingInput;
import org.rattanplank.gateway.http.ReadLimit;

/**
 * A pool of connections to targets.
 *
 * <p>A new connection occupies one of the target's slots for a moment; pooling saves that on nearly every request.
 * Invariant: an idle connection is closed before the target would close it. Confined to the event loop.
 */
public final class TargetConnections {
    /** A live target in the same region accepts within a few milliseconds; an unresponsive one must not delay its caller. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** How long a check may take: the request whose connection ended waits for it. */
    private static final int CHECK_TIMEOUT_MILLIS = 200;

    /**
     * The fraction of the idle time within which a connection is reused for a request that must run at most once: if the
     * target closes the connection at that moment, the outcome is unknown.
     */
    private static final double AT_MOST_ONCE_IDLE_FRACTION = 0.5;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final HeaderNames names;
    private final MonotonicClock clock;
    private final Map<GatewayTarget, ArrayDeque<TargetConnection>> idleByTarget = new HashMap<>();
    private final Map<TargetConnection, GatewayTarget> targetByConnection = new HashMap<>();

    /** Targets that have sent a response without a length and have requests of this host. */
    private final Set<GatewayTarget> targetsWithWatchedPort = new HashSet<>();

    /** An idle connection to each watched target that leaves; it is left open for the target to close. */
    private final Map<GatewayTarget, TargetConnection> idleByLeavingTarget = new HashMap<>();

    private long openedCount;
    private long checkCount;

    /**
     * Creates an empty pool.
     *
     * @param group the event loop
     * @param names the names of headers
     * @param clock the clock
     */
    public TargetConnections(EventLoopGroup group, HeaderNames names, MonotonicClock clock) {
        this.names = names;
        this.clock = clock;
        loop = group.next();
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ReadLimit.TARGET.allocator());
    }

    /**
     * Returns the names of the headers that targets receive.
     *
     * @return the names
     */
    public HeaderNames headerNames() {
        return names;
    }

    /**
     * Sends a request to a target.
     *
     * @param choice the target
     * @param call the request
     * @param listener receives the events of the attempt
     * @return the attempt
     */
    public Attempt send(TargetChoice choice, TargetCall call, AttemptListener listener) {
        GatewayTarget target = choice.target();
        if (target.process().sendsCloseDelimited()) {
            targetsWithWatchedPort.add(target);
        }
        TargetAttempt attempt = new TargetAttempt(choice, call, names, listener, clock);
        TargetConnection reused = attempt.isHeadRequest()
                ? null
                : takeIdle(target, attempt.requestId(), call.atMostOnce() ? AT_MOST_ONCE_IDLE_FRACTION : 1);
        if (reused != null) {
            attempt.connected(reused);
            return attempt;
        }
        open(target, attempt);
        return attempt;
    }

    /**
     * Closes idle connections whose idle time has expired.
     */
    public void tick() {
        long now = clock.nowMillis();
        idleByTarget.values().removeIf(connections -> {
            for (Iterator<TargetConnection> each = connections.iterator(); each.hasNext(); ) {
                TargetConnection connection = each.next();
                if (connection.isExpired(now)) {
                    each.remove();
                    connection.close();
                }
            }
            return connections.isEmpty();
        });
    }

    /**
     * Checks the ports that are due. Whether a response without a length is whole depends on how long its target's port
     * has been closed when it ends.
     */
    public void checkPorts() {
        long now = clock.nowMillis();
        for (GatewayTarget target : List.copyOf(targetsWithWatchedPort)) {
            if (!target.process().isBusy(now)) {
                targetsWithWatchedPort.remove(target);
                Option.of(idleByLeavingTarget.remove(target)).forEach(TargetConnection::close);
            } else if (target.process().isPortCheckDue(target.isLeaving(), now)) {
                check(target, result -> {});
            }
        }
    }

    /** Watches the port of a connection's target for as long as the target has requests of this host. */
    void watchPort(TargetConnection connection) {
        Option.of(targetByConnection.get(connection)).forEach(targetsWithWatchedPort::add);
    }

    /**
     * Closes all connections to a terminated incarnation of a target. A target that crashed behind a network partition
     * resets no connections: requests there would wait until their deadline although they are known to be lost.
     *
     * @param target the incarnation
     */
    public void closeAll(GatewayTarget target) {
        idleByTarget.remove(target);
        List.copyOf(targetByConnection.entrySet()).stream()
                .filter(each -> each.getValue() == target)
                .forEach(each -> each.getKey().failAndClose("the target has restarted"));
    }

    /**
     * Returns the number of connections opened so far.
     *
     * @return the number
     */
    public long openedConnections() {
        return openedCount;
    }

    /**
     * Returns the number of connections opened so far to check whether a target accepts any.
     *
     * @return the number, which is contained in that of all connections
     */
    public long checks() {
        return checkCount;
    }

    /**
     * Checks whether a target accepts connections. The new connection is kept for the next request. If there is none, what
     * other connections to the target have received until then is processed before the result is.
     *
     * @param target the target
     * @param onResult receives the result
     */
    public void check(GatewayTarget target, Consumer<ConnectResult> onResult) {
        checkCount++;
        target.process().portCheckStarted(clock.nowMillis());
        TargetConnection connection = new TargetConnection(names.requestId(), this);
        connect(target, connection, CHECK_TIMEOUT_MILLIS, done -> {
            ConnectResult result = recordConnect(target, done);
            if (result == ConnectResult.CONNECTED) {
                targetByConnection.put(connection, target);
                connection.becomeIdle();
                keepIdle(target, connection);
                onResult.accept(result);
                return;
            }
            if (result == ConnectResult.REFUSED) {
                // A check is too short to tell an unreachable target from one lost packet, so a timeout isn't recorded.
                target.recordUnreachable(clock.nowMillis());
            }
            readPendingInput(target);
            // The ends of connections that were read are reported by tasks that the event loop has already queued.
            loop.execute(() -> onResult.accept(result));
        });
    }

    private ConnectResult recordConnect(GatewayTarget target, Future<?> done) {
        ConnectResult result = ConnectResult.REFUSED;
        if (done.isSuccess()) {
            result = ConnectResult.CONNECTED;
        } else if (done.cause() instanceof ConnectTimeoutException) {
            result = ConnectResult.TIMED_OUT;
        }
        // A connection that was cancelled while it was opened says nothing of the port.
        if (done.isSuccess() || done.cause() instanceof ConnectException) {
            target.process().portAnswered(result, clock.nowMillis());
        }
        return result;
    }

    /** Keeps a check's connection for the next request, or, if its target leaves, to see whether the process goes on. */
    private void keepIdle(GatewayTarget target, TargetConnection connection) {
        if (target.isLeaving() && targetsWithWatchedPort.contains(target)) {
            Option.of(idleByLeavingTarget.put(target, connection)).forEach(TargetConnection::close);
        } else {
            release(connection);
        }
    }

    /**
     * Returns whether the idle connection that was kept to a leaving target is still open.
     *
     * @param target the target
     * @param beforeMillis the time at which it must have been open already
     * @return whether it is
     */
    public boolean isIdleConnectionOpen(GatewayTarget target, long beforeMillis) {
        return Option.of(idleByLeavingTarget.get(target)).exists(connection -> connection.isOpenSince(beforeMillis));
    }

    private void readPendingInput(GatewayTarget target) {
        List.copyOf(targetByConnection.entrySet()).stream()
                .filter(each -> each.getValue() == target)
                .forEach(each -> PendingInput.read(each.getKey().channel()));
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    void release(TargetConnection connection) {
        GatewayTarget target = targetByConnection.get(connection);
        if (target == null || target.isLeaving()) {
            connection.close();
            return;
        }
        idleByTarget.computeIfAbsent(target, each -> new ArrayDeque<>()).push(connection);
    }

    void closed(TargetConnection connection) {
        GatewayTarget target = targetByConnection.remove(connection);
        if (target != null) {
            ArrayDeque<TargetConnection> connections = idleByTarget.get(target);
            if (connections != null) {
                connections.remove(connection);
            }
        }
    }

    private TargetConnection takeIdle(GatewayTarget target, String requestId, double idleFraction) {
        ArrayDeque<TargetConnection> connections = idleByTarget.get(target);
        while (connections != null && !connections.isEmpty()) {
            TargetConnection newest = connections.pop();
            if (newest.isUsable(requestId, idleFraction, clock.nowMillis())) {
                return newest;
            }
            newest.close();
        }
        return null;
    }

    private void open(GatewayTarget target, TargetAttempt attempt) {
        TargetConnection connection = new TargetConnection(names.requestId(), this);
        Channel channel = connect(target, connection, CONNECT_TIMEOUT_MILLIS, done -> {
            recordConnect(target, done);
            Option<String> obstacle = obstacle(target);
            if (!done.isSuccess()) {
                attempt.connectFailed(done.cause());
            } else if (obstacle.isDefined()) {
                connection.close();
                attempt.withdrawn(obstacle.get());
            } else {
                targetByConnection.put(connection, target);
                attempt.connected(connection);
            }
        });
        attempt.connectStarted(channel);
    }

    /** Returns why a target that was chosen before its connection was open may receive nothing any more. */
    private Option<String> obstacle(GatewayTarget target) {
        if (target.isTerminated()) {
            return Option.some("the target has restarted");
        }
        if (target.isLeaving()) {
            return Option.some("the target has begun to leave");
        }
        return Option.when(target.requestedPauseMillis(clock.nowMillis()) > 0, "the target has requested a pause");
    }

    private Channel connect(
            GatewayTarget target, TargetConnection connection, int timeoutMillis, ChannelFutureListener listener) {
        openedCount++;
        InetSocketAddress address =
                new InetSocketAddress(target.entry().ip(), target.entry().port());
        Channel channel = bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socket) {
                        socket.pipeline()
                                .addLast(new ByteCountHandler(connection::bytesReceived))
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection.decoder())
                                .addLast(new ChunkMerger())
                                .addLast(connection);
                    }
                })
                .connect(address)
                .addListener(listener)
                .channel();
        connection.attach(channel);
        return channel;
    }
}
