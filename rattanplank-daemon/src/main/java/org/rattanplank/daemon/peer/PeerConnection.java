package org.rattanplank.daemon.peer;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;
import org.rattanplank.core.Event;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.request.WorkClass;
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.call.Calls;
import org.rattanplank.daemon.call.Envelope;
import org.rattanplank.daemon.http.WaitingBytes;
import org.rattanplank.daemon.runtime.Events;
import org.rattanplank.schema.message.ForwardCancel;
import org.rattanplank.schema.message.ForwardEnd;
import org.rattanplank.schema.message.ForwardRequest;
import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.Ping;
import org.rattanplank.schema.message.Pong;
import org.rattanplank.schema.message.RequestMessage;

/**
 * A connection that another entry host dialled.
 *
 * <p>Invariant: nothing of it is taken before the other host's {@code Hello}; when it ends, every request that came by
 * it has lost its asker. Confined to the channel's event loop but for answers, which any thread may send.
 */
final class PeerConnection extends FrameHandler {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** How long a connection stays after its sending half has ended, for the last answers to be read. */
    private static final long LINGER_MILLIS = 300;

    private final LinkContext context;
    private final Calls calls;
    private final Events events;
    private final AtomicInteger unsentAnswers;
    private final Silence silence;
    private final Map<String, Long> asked = new ConcurrentHashMap<>();
    private Option<Hello> other = Option.none();
    private Option<Future<?>> checker = Option.none();

    /** Requests whose answer has not left: one that is decided on another thread waits behind what this loop does now. */
    private final Set<String> owed = ConcurrentHashMap.newKeySet();

    private volatile Option<Channel> open = Option.none();
    private boolean ending;
    private long taken;

    PeerConnection(LinkContext context, Calls calls, Events events, AtomicInteger unsentAnswers) {
        super(context.traffic());
        this.context = context;
        this.calls = calls;
        this.events = events;
        this.unsentAnswers = unsentAnswers;
        silence = new Silence(
                context.times().pingIntervalMillis(),
                context.times().pingTimeoutMillis(),
                context.clock().nowMillis());
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        open = Option.some(active.channel());
        long interval = context.times().pingIntervalMillis();
        Runnable check = () -> {
            if (silence.isSilent(context.clock().nowMillis())) {
                active.close();
            }
        };
        checker = Option.some(
                active.channel().eventLoop().scheduleAtFixedRate(check, interval, interval, TimeUnit.MILLISECONDS));
    }

    /**
     * Ends the connection if it carries no request; called on any thread. It is read once more before: a request that
     * waits in the socket of a host that stood still would be lost with it, and its outcome unknown.
     */
    void endIfIdle() {
        open.forEach(channel -> channel.eventLoop().execute(() -> endIfIdle(channel)));
    }

    private void endIfIdle(Channel channel) {
        if (ending || !asked.isEmpty() || !owed.isEmpty()) {
            return;
        }
        long takenBefore = taken;
        WaitingBytes.read(channel);
        if (taken == takenBefore && asked.isEmpty() && owed.isEmpty() && channel.isActive()) {
            ending = true;
            ((SocketChannel) channel).shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    void received(Channel channel, PeerMessage message) {
        silence.heard(context.clock().nowMillis());
        if (message instanceof Hello hello) {
            other = Option.some(hello);
            write(channel, context.self());
        } else if (message instanceof Ping ping) {
            write(channel, new Pong(ping.number()));
        } else if (other.isEmpty()) {
            channel.close();
        } else if (message instanceof ForwardRequest request) {
            take(channel, request);
        } else if (message instanceof ForwardCancel cancel) {
            cancel(cancel);
        } else {
            // Messages may be lost; one that finds the workers too far behind is, so that no peer fills the memory.
            Hello from = other.get();
            events.offer(new Event.MessageReceived(from.host(), from.incarnation(), message));
        }
    }

    @Override
    void closed() {
        checker.forEach(timer -> timer.cancel(false));
        asked.keySet().forEach(this::askerLeft);
    }

    private void take(Channel channel, ForwardRequest message) {
        if (ending) {
            return;
        }
        taken++;
        owed.add(message.requestId());
        PeerAsker asker = new PeerAsker(message.requestId(), message.attempt(), answer -> answer(channel, answer));
        if (calls.isFull()) {
            asker.finish(new Outcome.NotRun(
                    Failure.of(Step.ADMIT, context.self().host(), "too many requests are in flight"),
                    RETRY_AFTER_MILLIS));
            return;
        }
        Call call = Call.of(requestOf(message), envelopeOf(message), asker);
        if (!calls.add(call)) {
            asker.finish(new Outcome.Unknown(
                    Failure.of(Step.FORWARD, context.self().host(), "the request is here already")));
            return;
        }
        asked.put(message.requestId(), message.attempt());
        Event event = new Event.PeerRequestReceived(other.get().host(), message.attempt(), call.request());
        if (!events.offer(event)) {
            calls.finish(
                    message.requestId(),
                    new Outcome.NotRun(
                            Failure.of(Step.ADMIT, context.self().host(), "too many events wait"), RETRY_AFTER_MILLIS));
        }
    }

    private void cancel(ForwardCancel cancel) {
        if (asked.getOrDefault(cancel.requestId(), 0L) == cancel.attempt()) {
            askerLeft(cancel.requestId());
        }
    }

    private void askerLeft(String requestId) {
        asked.remove(requestId);
        owed.remove(requestId);
        if (calls.find(requestId).isDefined()) {
            calls.remove(requestId);
            events.raise(new Event.RequesterLeft(requestId));
        }
    }

    private void answer(Channel channel, RequestMessage message) {
        if (message instanceof ForwardEnd end) {
            asked.remove(end.requestId());
        }
        // An asker that reads too slowly would fill this host's memory: its connection is closed, and it finds its
        // requests lost at once.
        if (!channel.isWritable()) {
            channel.close();
            return;
        }
        unsentAnswers.incrementAndGet();
        ChannelPromise written = channel.newPromise();
        written.addListener(done -> {
            unsentAnswers.decrementAndGet();
            if (message instanceof ForwardEnd end) {
                owed.remove(end.requestId());
            }
        });
        write(channel, message, FrameCodec.encode(message), written);
    }

    private Request requestOf(ForwardRequest message) {
        return new Request(
                message.requestId(),
                message.account(),
                message.service(),
                WorkClass.of(message.workClass()).getOrElse(WorkClass.DRAFT),
                message.repeatable(),
                Option.of(message.idempotencyKey()).filter(key -> !key.isEmpty()),
                message.homeRegion(),
                Option.of(message.residency()).filter(label -> !label.isEmpty()),
                context.clock().nowMillis() + message.remainingMillis(),
                Math.toIntExact(message.promptTokens()),
                Math.toIntExact(message.maxTokens()),
                message.prefixHashes(),
                message.stream(),
                message.passedHosts(),
                message.claimed());
    }

    private static Envelope envelopeOf(ForwardRequest message) {
        return new Envelope(
                message.method(),
                message.path(),
                message.contentType(),
                message.body(),
                message.traceParent(),
                message.requestId() + "." + message.attempt());
    }
}
