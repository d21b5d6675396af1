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
import org.rattanplank.daemon.http.Failures;
import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.Ping;
import org.rattanplank.schema.message.RequestMessage;
import org.tinylog.Logger;
import ratpack.util.internal.TransportDetector;

/**
 * A link to one other entry host, dialled by this one.
 *
 * <p>Invariants: a message is handed to the transport only after the other end has said that it is the host meant; what
 * waits to be sent is bounded. Confined to one event loop but for {@link #send}, {@link #keep} and {@link #close}.
 */
final class Link {
    private final String host;
    private final EventLoop loop;
    private final LinkContext context;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private long waitingBytes;
    private Option<Channel> channel = Option.none();
    private Option<Future<?>> redial = Option.none();
    private LinkHandler handler;
    private boolean up;
    private boolean kept;
    private boolean closed;
    private long pauseMillis;
    private long usedAtMillis;

    Link(String host, EventLoop loop, LinkContext context) {
        this.host = host;
        this.loop = loop;
        this.context = context;
        pauseMillis = context.times().redialMinMillis();
        usedAtMillis = context.clock().nowMillis();
        handler = new LinkHandler();
    }

    void keep(boolean keep) {
        loop.execute(() -> {
            kept = keep;
            if (keep) {
                dialUnlessBusy();
            }
        });
    }

    void send(PeerMessage message, SendListener listener) {
        byte[] frame = FrameCodec.encode(message);
        loop.execute(() -> sendOnLoop(new Waiting(message, frame, listener)));
    }

    void close() {
        loop.execute(() -> {
            closed = true;
            redial.forEach(timer -> timer.cancel(false));
            refuseWaiting("this host stops");
            channel.forEach(Channel::close);
        });
    }

    private void sendOnLoop(Waiting message) {
        usedAtMillis = context.clock().nowMillis();
        if (closed) {
            message.listener.refused("this host stops");
        } else if (message.frame.length > context.sizes().maxFrameBytes()) {
            message.listener.refused("the message is larger than the limit");
        } else if (up) {
            handOver(message);
        } else if (waitingBytes + message.frame.length > context.sizes().sendQueueBytes()) {
            message.listener.refused("too much waits for the link");
        } else {
            waiting.add(message);
            waitingBytes += message.frame.length;
            dialUnlessBusy();
        }
    }

    private void handOver(Waiting message) {
        Channel open = channel.get();
        if (!open.isWritable()) {
            message.listener.refused("too much waits for the link");
            return;
        }
        message.listener.handedOver();
        handler.write(open, message.message, message.frame);
    }

    private void dialUnlessBusy() {
        if (channel.isEmpty() && redial.isEmpty() && !closed) {
            dial();
        }
    }

    private void dial() {
        redial = Option.none();
        Option<ListedHost> listed = context.directory().find(host).filter(other -> other.peerPort() > 0);
        if (listed.isEmpty()) {
            notConnected(false, "the host's address is not known");
            return;
        }
        handler = new LinkHandler();
        var connected = new Bootstrap()
                .group(loop)
                .channel(TransportDetector.getSocketChannelImpl())
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        Math.toIntExact(context.times().connectTimeoutMillis()))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, context.waterMark())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        handler.addTo(made.pipeline(), context.sizes().maxFrameBytes());
                    }
                })
                .connect(listed.get().address(), listed.get().peerPort());
        channel = Option.some(connected.channel());
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                channel = Option.none();
                notConnected(Failures.isRefused(done.cause()), Failures.reasonOf(done.cause()));
            }
        });
    }

    private void notConnected(boolean refused, String reason) {
        up = false;
        refuseWaiting(reason);
        context.listener().lost(host, refused);
        if (kept && !closed) {
            long millis = pauseMillis;
            pauseMillis = Math.min(2 * pauseMillis, context.times().redialMaxMillis());
            redial = Option.some(loop.schedule(this::dial, millis, TimeUnit.MILLISECONDS));
        }
    }

    private void refuseWaiting(String reason) {
        while (!waiting.isEmpty()) {
            waiting.poll().listener.refused(reason);
        }
        waitingBytes = 0;
    }

    private void connected(Hello hello) {
        up = true;
        pauseMillis = context.times().redialMinMillis();
        context.listener().connected(hello);
        while (!waiting.isEmpty()) {
            handOver(waiting.poll());
        }
        waitingBytes = 0;
    }

    private record Waiting(PeerMessage message, byte[] frame, SendListener listener) {}

    /** The connection's side of the link; one for each connection. */
    private final class LinkHandler extends FrameHandler {
        private final Silence silence;
        private Option<Future<?>> pinger = Option.none();
        private long pings;
        private boolean introduced;

        LinkHandler() {
            super(context.traffic());
            silence = new Silence(
                    context.times().pingIntervalMillis(),
                    context.times().pingTimeoutMillis(),
                    context.clock().nowMillis());
        }

        @Override
        public void channelActive(io.netty.channel.ChannelHandlerContext active) {
            silence.heard(context.clock().nowMillis());
            write(active.channel(), context.self());
            long interval = context.times().pingIntervalMillis();
            pinger = Option.some(
                    loop.scheduleAtFixedRate(() -> ping(active.channel()), interval, interval, TimeUnit.MILLISECONDS));
        }

        @Override
        void received(Channel from, PeerMessage message) {
            silence.heard(context.clock().nowMillis());
            if (message instanceof Hello hello) {
                introduce(from, hello);
            } else if (introduced && message instanceof RequestMessage answer) {
                usedAtMillis = context.clock().nowMillis();
                context.listener().answered(host, answer);
            }
        }

        @Override
        void closed() {
            pinger.forEach(timer -> timer.cancel(false));
            channel = Option.none();
            notConnected(false, "the link broke");
        }

        /**
         * Addresses are used again: another host may answer where this one was. One would notice messages that reach the
         * wrong host. A link counts as up only when the other end has named itself.
         */
        private void introduce(Channel from, Hello hello) {
            if (introduced) {
                return;
            }
            if (!hello.host().equals(host)) {
                Logger.warn("peer: another host answers at the address of {}", host);
                from.close();
                return;
            }
            introduced = true;
            Link.this.connected(hello);
        }

        private void ping(Channel open) {
            long now = context.clock().nowMillis();
            if (silence.isSilent(now)) {
                Logger.warn("peer: the link to {} went silent", host);
                open.close();
                return;
            }
            if (!kept && now - usedAtMillis > context.times().linkIdleMillis()) {
                open.close();
                return;
            }
            write(open, new Ping(++pings));
        }
    }

    static WriteBufferWaterMark waterMarkOf(PeerSizes sizes) {
        return new WriteBufferWaterMark(sizes.sendQueueBytes() / 2, sizes.sendQueueBytes());
    }
}
