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
import org.rattanplank.daemon.http.PendingInput;
import org.rattanplank.daemon.runtime.EventSink;
import org.rattanplank.schema.message.ForwardCancel;
import org.rattanplank.schema.message.ForwardEnd;
import org.rattanplank.schema.message.ForwardRequest;
import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.Ping;
import org.rattanplank.schema.message.Pong;
import org.rattanplank.schema.message.RequestMessage;

/**
 * A connection opened by another entry host.
 *
 * <p>Invariant: no message is accepted before the other host's {@code Hello}; when the connection closes, every request
 * received on it has lost its requester. Confined to the channel's event loop except for responses, which any thread
 * may send.
 */
final class PeerConnection extends FrameHandler {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** Delay between shutting down the output and closing the connection, so that the last responses can be read. */
    private static final long CLOSE_DELAY_MILLIS = 300;

    private final LinkContext context;
    private final Calls calls;
    private final EventSink eventSink;
    private final AtomicInteger unsentResponses;
    private final LivenessCheck livenessCheck;
    private final Map<String, Long> attemptsInFlight = new ConcurrentHashMap<>();
    private Option<Hello> remoteHello = Option.none();
    private Option<Future<?>> livenessTimer = Option.none();

    /**
     * Requests whose response has not been written yet: a response from another thread is queued behind the current
     * task of this event loop.
     */
    private final Set<String> awaitingResponse = ConcurrentHashMap.newKeySet();

    private volatile Option<Channel> activeChannel = Option.none();
    private boolean closing;
    private long requestsAccepted;

    PeerConnection(LinkContext context, Calls calls, EventSink eventSink, AtomicInteger unsentResponses) {
        super(context.traffic(), context.sizes().maxFrameBytes());
        this.context = context;
        this.calls = calls;
        this.eventSink = eventSink;
        this.unsentResponses = unsentResponses;
        livenessCheck = new LivenessCheck(
                context.times().pingIntervalMillis(),
                context.times().pingTimeoutMillis(),
                context.clock().nowMillis());
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        activeChannel = Option.some(active.channel());
        long interval = context.times().pingIntervalMillis();
        Runnable check = () -> {
            if (livenessCheck.isUnresponsive(context.clock().nowMillis())) {
                active.close();
            }
        };
        livenessTimer = Option.some(
                active.channel().eventLoop().scheduleAtFixedRate(check, interval, interval, TimeUnit.MILLISECONDS));
    }

    /**
     * Closes the connection if it has no request in flight and no message has arrived in part; may be called on any
     * thread. The socket is read once more first: after a pause of this host, a request that is still buffered in the
     * socket would be lost with the connection, and its outcome unknown.
     */
    void closeIfIdle() {
        activeChannel.forEach(channel -> channel.eventLoop().execute(() -> closeIfIdle(channel)));
    }

    private void closeIfIdle(Channel channel) {
        if (closing || !attemptsInFlight.isEmpty() || !awaitingResponse.isEmpty()) {
            return;
        }
        long previouslyAccepted = requestsAccepted;
        PendingInput.read(channel);
        if (requestsAccepted == previouslyAccepted
                && attemptsInFlight.isEmpty()
                && awaitingResponse.isEmpty()
                && !isReceivingMessage()
                && channel.isActive()) {
            closing = true;
            ((SocketChannel) channel).shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    void received(Channel channel, PeerMessage message) {
        livenessCheck.recordReceived(context.clock().nowMillis());
        if (message instanceof Hello hello) {
            remoteHello = Option.some(hello);
            write(channel, context.self());
        } else if (message instanceof Ping ping) {
            write(channel, new Pong(ping.number()));
        } else if (remoteHello.isEmpty()) {
            channel.close();
        } else if (message instanceof ForwardRequest request) {
            accept(channel, request);
        } else if (message instanceof ForwardCancel cancel) {
            cancel(cancel);
        } else {
            // Peer messages may be lost. They are dropped when the event queue is full, so that no peer can exhaust
            // the memory.
            Hello from = remoteHello.get();
            eventSink.offer(new Event.MessageReceived(from.host(), from.incarnation(), message));
        }
    }

    @Override
    void closed() {
        livenessTimer.forEach(timer -> timer.cancel(false));
        attemptsInFlight.keySet().forEach(this::requesterLeft);
    }

    private void accept(Channel channel, ForwardRequest message) {
        if (closing) {
            return;
        }
        requestsAccepted++;
        awaitingResponse.add(message.requestId());
        PeerRequester requester =
                new PeerRequester(message.requestId(), message.attempt(), response -> sendResponse(channel, response));
        if (calls.isFull()) {
            requester.finish(new Outcome.NotRun(
                    Failure.of(Step.ADMIT, context.self().host(), "too many requests are in flight"),
                    RETRY_AFTER_MILLIS));
            return;
        }
        Call call = Call.of(requestOf(message), envelopeOf(message), requester);
        if (!calls.add(call)) {
            requester.finish(new Outcome.Unknown(Failure.of(
                    Step.FORWARD, context.self().host(), "a request with this identifier is already in flight")));
            return;
        }
        attemptsInFlight.put(message.requestId(), message.attempt());
        Event event = new Event.PeerRequestReceived(remoteHello.get().host(), message.attempt(), call.request());
        if (!eventSink.offer(event)) {
            calls.finish(
                    message.requestId(),
                    new Outcome.NotRun(
                            Failure.of(Step.ADMIT, context.self().host(), "the event queue is full"),
                            RETRY_AFTER_MILLIS));
        }
    }

    private void cancel(ForwardCancel cancel) {
        if (attemptsInFlight.getOrDefault(cancel.requestId(), 0L) == cancel.attempt()) {
            requesterLeft(cancel.requestId());
        }
    }

    private void requesterLeft(String requestId) {
        attemptsInFlight.remove(requestId);
        awaitingResponse.remove(requestId);
        if (calls.find(requestId).isDefined()) {
            calls.remove(requestId);
            eventSink.raise(new Event.RequesterLeft(requestId));
        }
    }

    private void sendResponse(Channel channel, RequestMessage message) {
        if (message instanceof ForwardEnd end) {
            attemptsInFlight.remove(end.requestId());
        }
        // A requester that reads too slowly would exhaust this host's memory. Its connection is closed, so that it
        // observes at once that its requests are lost.
        if (!channel.isWritable()) {
            channel.close();
            return;
        }
        unsentResponses.incrementAndGet();
        ChannelPromise written = channel.newPromise();
        written.addListener(done -> {
            unsentResponses.decrementAndGet();
            if (message instanceof ForwardEnd end) {
                awaitingResponse.remove(end.requestId());
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
                message.claimed(),
                Envelope.fingerprint(
                        message.account(), message.service(), message.method(), message.path(), message.body()));
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
