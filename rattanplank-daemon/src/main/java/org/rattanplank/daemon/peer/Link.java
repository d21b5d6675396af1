package org.rattanplank.daemon.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.daemon.http.ConnectionFailures;
import org.rattanplank.gateway.http.ReadLimit;
import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.Ping;
import org.rattanplank.schema.message.RequestMessage;
import org.tinylog.Logger;
import ratpack.util.internal.TransportDetector;

/**
 * A link that this host opens to one other entry host.
 *
 * <p>Invariants: a message is written to the transport only after the remote end has identified itself as the intended
 * host; the send queue is bounded. Confined to one event loop except for {@link #send}, {@link #setPersistent} and
 * {@link #close}.
 */
final class Link {
    private final String host;
    private final EventLoop loop;
    private final LinkContext context;
    private final Deque<QueuedMessage> queue = new ArrayDeque<>();
    private long queuedBytes;
    private Option<Channel> channel = Option.none();
    private Option<Future<?>> redialTimer = Option.none();
    private LinkHandler handler;
    private boolean established;
    private boolean persistent;
    private boolean closed;
    private long redialDelayMillis;
    private long lastUsedAtMillis;

    Link(String host, EventLoop loop, LinkContext context) {
        this.host = host;
        this.loop = loop;
        this.context = context;
        redialDelayMillis = context.times().redialMinMillis();
        lastUsedAtMillis = context.clock().nowMillis();
        handler = new LinkHandler();
    }

    void setPersistent(boolean newPersistent) {
        loop.execute(() -> {
            persistent = newPersistent;
            if (newPersistent) {
                dialIfNeeded();
            }
        });
    }

    void send(PeerMessage message, SendListener listener) {
        byte[] frame = FrameCodec.encode(message);
        loop.execute(() -> sendOnLoop(new QueuedMessage(message, frame, listener)));
    }

    void close() {
        loop.execute(() -> {
            closed = true;
            redialTimer.forEach(timer -> timer.cancel(false));
            rejectQueued("this host is stopping");
            channel.forEach(Channel::close);
        });
    }

    private void sendOnLoop(QueuedMessage message) {
        lastUsedAtMillis = context.clock().nowMillis();
        if (closed) {
            message.listener.rejected("this host is stopping");
        } else if (message.frame.length > context.sizes().maxFrameBytes()) {
            message.listener.rejected("the message exceeds the maximum frame size");
        } else if (established) {
            writeToChannel(message);
        } else if (queuedBytes + message.frame.length > context.sizes().sendQueueBytes()) {
            message.listener.rejected("the send queue of the link is full");
        } else {
            queue.add(message);
            queuedBytes += message.frame.length;
            dialIfNeeded();
        }
    }

    private void writeToChannel(QueuedMessage message) {
        Channel open = channel.get();
        if (!open.isWritable()) {
            message.listener.rejected("the send queue of the link is full");
            return;
        }
        message.listener.writeStarted();
        handler.write(open, message.message, message.frame);
    }

    private void dialIfNeeded() {
        if (channel.isEmpty() && redialTimer.isEmpty() && !closed) {
            dial();
        }
    }

    private void dial() {
        redialTimer = Option.none();
        Option<ListedHost> address = context.directory().find(host).filter(other -> other.peerPort() > 0);
        if (address.isEmpty()) {
            handleDisconnected(false, "the host's address is unknown");
            return;
        }
        handler = new LinkHandler();
        var connecting = new Bootstrap()
                .group(loop)
                .channel(TransportDetector.getSocketChannelImpl())
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        Math.toIntExact(context.times().connectTimeoutMillis()))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ReadLimit.HOST.allocator())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, context.waterMark())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel newChannel) {
                        handler.addTo(newChannel.pipeline());
                    }
                })
                .connect(address.get().address(), address.get().peerPort());
        channel = Option.some(connecting.channel());
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                channel = Option.none();
                handleDisconnected(
                        ConnectionFailures.isRefused(done.cause()), ConnectionFailures.reasonOf(done.cause()));
            }
        });
    }

    private void handleDisconnected(boolean connectionRefused, String reason) {
        established = false;
        rejectQueued(reason);
        context.listener().disconnected(host, connectionRefused);
        if (persistent && !closed) {
            long delayMillis = redialDelayMillis;
            redialDelayMillis = Math.min(2 * redialDelayMillis, context.times().redialMaxMillis());
            redialTimer = Option.some(loop.schedule(this::dial, delayMillis, TimeUnit.MILLISECONDS));
        }
    }

    private void rejectQueued(String reason) {
        while (!queue.isEmpty()) {
            queue.poll().listener.rejected(reason);
        }
        queuedBytes = 0;
    }

    private void handleConnected(Hello hello) {
        established = true;
        redialDelayMillis = context.times().redialMinMillis();
        context.listener().connected(hello);
        while (!queue.isEmpty()) {
            writeToChannel(queue.poll());
        }
        queuedBytes = 0;
    }

    private record QueuedMessage(PeerMessage message, byte[] frame, SendListener listener) {}

    /** Handles one connection of the link; a new instance is created for each connection. */
    private final class LinkHandler extends FrameHandler {
        private final LivenessCheck livenessCheck;
        private Option<Future<?>> pingTimer = Option.none();
        private long pingsSent;
        private boolean handshakeDone;

        LinkHandler() {
            super(context.traffic(), context.sizes().maxFrameBytes());
            livenessCheck = new LivenessCheck(
                    context.times().pingIntervalMillis(),
                    context.times().pingTimeoutMillis(),
                    context.clock().nowMillis());
        }

        @Override
        public void channelActive(io.netty.channel.ChannelHandlerContext active) {
            livenessCheck.recordReceived(context.clock().nowMillis());
            write(active.channel(), context.self());
            long interval = context.times().pingIntervalMillis();
            pingTimer = Option.some(
                    loop.scheduleAtFixedRate(() -> ping(active.channel()), interval, interval, TimeUnit.MILLISECONDS));
        }

        @Override
        void received(Channel from, PeerMessage message) {
            livenessCheck.recordReceived(context.clock().nowMillis());
            if (message instanceof Hello hello) {
                completeHandshake(from, hello);
            } else if (handshakeDone && message instanceof RequestMessage response) {
                lastUsedAtMillis = context.clock().nowMillis();
                context.listener().responseReceived(host, response);
            }
        }

        @Override
        void closed() {
            pingTimer.forEach(timer -> timer.cancel(false));
            channel = Option.none();
            handleDisconnected(false, "the link was disconnected");
        }

        /**
         * Completes the handshake. Addresses are reused, so another host may answer at this address; symptom: messages
         * reach the wrong host. A link counts as established only after the remote end has sent its own name.
         */
        private void completeHandshake(Channel from, Hello hello) {
            if (handshakeDone) {
                return;
            }
            if (!hello.host().equals(host)) {
                Logger.warn("peer: a different host answered at the address of {}; closing the connection", host);
                from.close();
                return;
            }
            handshakeDone = true;
            Link.this.handleConnected(hello);
        }

        private void ping(Channel open) {
            long now = context.clock().nowMillis();
            if (livenessCheck.isUnresponsive(now)) {
                Logger.warn("peer: no message from {} within the ping timeout; closing the link", host);
                open.close();
                return;
            }
            if (!persistent && now - lastUsedAtMillis > context.times().linkIdleMillis()) {
                open.close();
                return;
            }
            write(open, new Ping(++pingsSent));
        }
    }

    static WriteBufferWaterMark waterMarkOf(PeerSizes sizes) {
        return new WriteBufferWaterMark(sizes.sendQueueBytes() / 2, sizes.sendQueueBytes());
    }
}
