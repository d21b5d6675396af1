package org.rattanplank.gateway.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.response.StatusCode;
import org.rattanplank.gateway.MonotonicClock;
import org.rattanplank.gateway.http.Headers;
import org.rattanplank.gateway.http.PendingInput;
import org.rattanplank.gateway.target.Attempt;
import org.rattanplank.gateway.target.AttemptFailure;
import org.rattanplank.gateway.target.AttemptListener;

/**
 * A connection to another host, which carries frames in both directions.
 *
 * <p>Invariant: each call that is sent over the link ends exactly once; when the connection closes, calls in progress may
 * have run or may still run. Confined to the event loop.
 */
public final class PeerLink extends SimpleChannelInboundHandler<ByteBuf> implements StoreReceiver {
    /** The minimum time without input after which a link counts as dead: three times the usual state report interval. */
    private static final long MIN_UNRESPONSIVE_MILLIS = 1_600;

    private static final int UNRESPONSIVE_PERIODS = 3;

    /** The minimum time without input after which a host is overdue: two of the usual intervals between reports. */
    private static final long MIN_SILENT_MILLIS = 1_000;

    private static final int SILENT_PERIODS = 2;

    /** How long a link stays open after its output was shut down, to read what the other host had already sent. */
    private static final long LINGER_MILLIS = 300;

    /** Large enough for a body of the maximum size with its headers, and for all contents of the store. */
    private static final int MAX_FRAME_BYTES = 16 << 20;

    private static final double ROUND_TRIP_SMOOTHING = 0.2;

    private final PeerLinks owner;
    private final MonotonicClock clock;
    private final boolean outgoing;
    private final FrameDecoder decoder = new FrameDecoder(MAX_FRAME_BYTES);
    private final Map<Long, PeerAttempt> calls = new HashMap<>();
    private Channel channel;
    private GatewayHost host;
    private boolean inOwnRegion;
    private long lastReceivedMillis;
    private long nextCall = 1;
    private long lastAcceptedCall;
    private boolean closing;
    private boolean peerLeaving;
    private PeerFrame.State state = PeerFrame.State.NONE;
    private final ByteArrayOutputStream fragments = new ByteArrayOutputStream();
    private boolean receivingCallFragments;
    private long stateAtMillis;
    private double roundTripMillis;

    PeerLink(PeerLinks owner, MonotonicClock clock, boolean outgoing) {
        this.owner = owner;
        this.outgoing = outgoing;
        this.clock = clock;
        lastReceivedMillis = clock.nowMillis();
    }

    /**
     * Returns the host at the other end.
     *
     * @return the host, or none until it has identified itself
     */
    public Option<GatewayHost> host() {
        return Option.of(host);
    }

    @Override
    public String name() {
        return host().map(GatewayHost::name).getOrElse("");
    }

    @Override
    public PeerFrame.State state() {
        return state;
    }

    /**
     * Returns the smoothed network round trip time.
     *
     * @return milliseconds, zero while not known
     */
    public double roundTripMillis() {
        return roundTripMillis;
    }

    /**
     * Returns the time since the last state report of the other host.
     *
     * @return milliseconds
     */
    public long stateAgeMillis() {
        return clock.nowMillis() - stateAtMillis;
    }

    /**
     * Returns whether the other host is connected and responsive.
     *
     * @return whether data was received from it recently
     */
    public boolean isAlive() {
        return isOpen() && !peerLeaving && owner.inputReadUntilMillis() - lastReceivedMillis < unresponsiveMillis();
    }

    /** Returns why the link is no longer alive. */
    DisconnectCause lossCause() {
        if (peerLeaving) {
            return DisconnectCause.LEFT;
        }
        return isOpen() ? DisconnectCause.SILENT : DisconnectCause.CLOSED;
    }

    /**
     * Returns whether the other host is overdue: it has missed a report, though it still counts as connected.
     *
     * @return whether no data was received from it for two of its periods
     */
    public boolean isSilent() {
        return owner.inputReadUntilMillis() - lastReceivedMillis
                >= Math.max(MIN_SILENT_MILLIS, SILENT_PERIODS * state.periodMillis());
    }

    @Override
    public boolean isInOwnRegion() {
        return inOwnRegion;
    }

    /** Returns the decoder that splits the received bytes of this link into frames. */
    FrameDecoder decoder() {
        return decoder;
    }

    /**
     * Returns whether a part of a call may have been received, and the rest can still follow.
     *
     * @return whether the other host is responsive, and a frame is incomplete or the first fragments of a call have been
     *     received
     */
    public boolean isReceivingCall() {
        return isAlive() && (decoder.hasIncompleteFrame() || receivingCallFragments);
    }

    /** Returns whether this host opened the connection. */
    boolean isOutgoing() {
        return outgoing;
    }

    /** Returns whether no call is in progress on the link. */
    boolean isIdle() {
        return calls.isEmpty();
    }

    /** Returns the time without input after which the other host is unresponsive: with many links it reports rarely. */
    long unresponsiveMillis() {
        return Math.max(MIN_UNRESPONSIVE_MILLIS, UNRESPONSIVE_PERIODS * state.periodMillis());
    }

    /**
     * Sends a frame.
     *
     * @param frame the frame
     */
    public void send(PeerFrame frame) {
        if (isOpen()) {
            write(frame, PeerFrameCodec.encode(frame));
        }
    }

    /**
     * Sends a frame.
     *
     * @param frame the frame
     * @param onReleased run once when the frame takes no memory of this host any more, whether it was sent or not
     */
    public void send(PeerFrame frame, Runnable onReleased) {
        if (isOpen()) {
            write(frame, PeerFrameCodec.encode(frame)).addListener(done -> onReleased.run());
        } else {
            onReleased.run();
        }
    }

    @Override
    public void send(PeerFrame frame, byte[] bytes) {
        if (isOpen()) {
            write(frame, bytes);
        }
    }

    /**
     * Encodes a frame that is to be sent to several hosts.
     *
     * @param frame the frame
     * @return the encoded frame
     */
    public static byte[] encode(PeerFrame frame) {
        return PeerFrameCodec.encode(frame);
    }

    /** Sends an encoded frame and counts its bytes. */
    private ChannelFuture write(PeerFrame frame, byte[] bytes) {
        owner.traffic().recordSent(frame, bytes.length);
        return channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    boolean isOpen() {
        return channel != null && channel.isActive();
    }

    /** Returns the bytes that have not left this host, as its link or the other host is too slow. */
    @Override
    public long pendingBytes() {
        ChannelOutboundBuffer outbound =
                channel == null ? null : channel.unsafe().outboundBuffer();
        return outbound == null ? 0 : outbound.totalPendingWriteBytes();
    }

    /**
     * Forwards a request to the other host.
     *
     * @param request creates the frame for a call number
     * @param listener receives the events of the attempt
     * @return the attempt
     */
    public Attempt sendRequest(LongFunction<? extends PeerFrame> request, AttemptListener listener) {
        long number = nextCall++;
        PeerAttempt attempt = new PeerAttempt(number, listener);
        if (!isOpen() || peerLeaving) {
            // The calls of this link have been failed already: nothing would end this call before its deadline.
            listener.failed(
                    AttemptFailure.NOT_SENT, "the link to the other host was closed before the request was sent");
            return attempt;
        }
        calls.put(number, attempt);
        send(request.apply(number));
        return attempt;
    }

    /**
     * Flattens headers into alternating names and values.
     *
     * @param headers the headers
     * @return the names and values
     */
    public static List<String> flatten(HttpHeaders headers) {
        List<String> flat = new ArrayList<>(headers.size() * 2);
        headers.iteratorAsString().forEachRemaining(entry -> {
            flat.add(entry.getKey());
            flat.add(entry.getValue());
        });
        return flat;
    }

    /**
     * Restores headers from alternating names and values.
     *
     * @param flat the names and values
     * @return the headers
     */
    public static HttpHeaders unflatten(List<String> flat) {
        HttpHeaders headers = Headers.unchecked();
        for (int i = 0; i + 1 < flat.size(); i += 2) {
            headers.add(flat.get(i), flat.get(i + 1));
        }
        return headers;
    }

    /**
     * Closes the link gracefully: reads pending input in the same event loop task, and sends the other host the number of the last
     * accepted call. Without that number it could not determine whether a call that crossed the close has run, and a
     * booking would end with an unknown outcome. Does nothing if the link must stay open.
     *
     * @param mustStayOpen returns whether the link has work, after the pending input was read
     */
    void closeGracefully(Predicate<? super PeerLink> mustStayOpen) {
        if (closing || !isOpen()) {
            return;
        }
        PendingInput.read(channel);
        if (mustStayOpen.test(this) || !isOpen()) {
            return;
        }
        closing = true;
        PeerFrame.Leaving leaving = new PeerFrame.Leaving(lastAcceptedCall);
        write(leaving, PeerFrameCodec.encode(leaving)).addListener(written -> {
            ((SocketChannel) channel).shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Records received bytes, which count as activity before their frame is complete. */
    void bytesReceived(int count) {
        owner.traffic().recordReceived(count);
        lastReceivedMillis = clock.nowMillis();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        owner.linkOpened(this);
        lastReceivedMillis = clock.nowMillis();
        send(new PeerFrame.Hello(owner.self()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
        readFrame(ByteBufUtil.getBytes(bytes));
    }

    private void readFrame(byte[] bytes) {
        Try<PeerFrame> frame = PeerFrameCodec.decode(bytes);
        if (frame.isFailure()) {
            owner.frameUnreadable(this, frame.getCause());
            return;
        }
        handle(frame.get());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        owner.linkFailed(this, cause);
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        owner.linkClosed(this);
        List<PeerAttempt> unfinished = List.copyOf(calls.values());
        calls.clear();
        unfinished.forEach(call ->
                call.listener.failed(AttemptFailure.UNKNOWN, "the link to the other host was closed during the call"));
    }

    private void handle(PeerFrame frame) {
        if (frame instanceof PeerFrame.Hello hello) {
            host = hello.host();
            inOwnRegion =
                    host.location().region().equals(owner.self().location().region());
            owner.helloReceived(this);
        } else if (host == null) {
            close();
        } else if (frame instanceof PeerFrame.State newState) {
            state = newState;
            stateAtMillis = lastReceivedMillis;
            if (newState.echoedMillis() > 0) {
                double sampleMillis =
                        Math.max(0, lastReceivedMillis - newState.echoedMillis() - newState.echoAgeMillis());
                roundTripMillis = roundTripMillis == 0
                        ? sampleMillis
                        : roundTripMillis + ROUND_TRIP_SMOOTHING * (sampleMillis - roundTripMillis);
            }
            owner.listener().stateReceived(this, newState);
        } else if (frame instanceof PeerFrame.LargePrefillNotice notice) {
            owner.listener().largePrefillNoticeReceived(this, notice.work());
        } else if (frame instanceof PeerFrame.CrashNotice notice) {
            owner.listener().crashNoticeReceived(this, notice.evidence());
        } else if (frame instanceof PeerFrame.PromptPartCrashNotice notice) {
            owner.listener().crashNoticeReceived(this, notice.evidence());
        } else if (frame instanceof PeerFrame.StoreItems items) {
            owner.listener().storeItemsReceived(this, items);
        } else if (frame instanceof PeerFrame.Fragment fragment) {
            handleFragment(fragment);
        } else if (frame instanceof PeerFrame.CallRequest request) {
            accept(request, "");
        } else if (frame instanceof PeerFrame.FailoverRequest failover) {
            accept(failover.request(), failover.backup());
        } else if (frame instanceof PeerFrame.Leaving leaving) {
            peerLeft(leaving.lastCall());
        } else if (frame instanceof PeerFrame.CallCancel cancel) {
            owner.listener().callCancelled(this, cancel.call());
        } else {
            readAnswer(frame);
        }
    }

    private void accept(PeerFrame.CallRequest request, String backup) {
        if (!closing) {
            lastAcceptedCall = Math.max(lastAcceptedCall, request.call());
            owner.listener().requestReceived(this, request, backup);
        }
    }

    private void handleFragment(PeerFrame.Fragment fragment) {
        if (fragments.size() == 0) {
            receivingCallFragments = PeerFrameCodec.startsCall(fragment.bytes());
        }
        fragments.writeBytes(fragment.bytes());
        if (fragments.size() > MAX_FRAME_BYTES) {
            owner.frameUnreadable(this, new IOException("fragmented frame exceeds " + MAX_FRAME_BYTES + " bytes"));
        } else if (fragment.last()) {
            byte[] frame = fragments.toByteArray();
            fragments.reset();
            receivingCallFragments = false;
            readFrame(frame);
        }
    }

    /** Fails the calls that the leaving host did not accept, so that they can be sent elsewhere. */
    private void peerLeft(long lastCall) {
        peerLeaving = true;
        for (PeerAttempt call : List.copyOf(calls.values())) {
            if (call.number > lastCall) {
                calls.remove(call.number);
                call.listener.failed(AttemptFailure.NOT_SENT, "the other host was leaving and did not accept the call");
            }
        }
    }

    private void readAnswer(PeerFrame frame) {
        if (frame instanceof PeerFrame.ResponseHead head) {
            PeerAttempt call = calls.get(head.call());
            if (call != null) {
                call.headReceived(head);
            }
        } else if (frame instanceof PeerFrame.ResponseChunk chunk) {
            PeerAttempt call = calls.get(chunk.call());
            if (call != null) {
                call.listener.contentReceived(Unpooled.wrappedBuffer(chunk.bytes()));
            }
        } else if (frame instanceof PeerFrame.ResponseEnd end) {
            Option.of(calls.remove(end.call())).forEach(call -> call.listener.completed());
        } else if (frame instanceof PeerFrame.CallFailed failed) {
            AttemptFailure failure =
                    Try.of(() -> AttemptFailure.valueOf(failed.failure())).getOrElse(AttemptFailure.UNKNOWN);
            Option.of(calls.remove(failed.call())).forEach(call -> {
                call.target = failed.target();
                if (failure != AttemptFailure.INTERRUPTED) {
                    // The other host knows better than this one whether the backup is of use.
                    call.backup = "";
                }
                call.listener.failed(failure, failed.reason());
            });
        }
    }

    private final class PeerAttempt implements Attempt {
        private final long number;
        private final AttemptListener listener;
        private String target = "";
        private String backup = "";

        private PeerAttempt(long number, AttemptListener listener) {
            this.number = number;
            this.listener = listener;
        }

        @Override
        public String destination() {
            return target.isEmpty() ? host.name() : target;
        }

        @Override
        public String backup() {
            return backup;
        }

        private void headReceived(PeerFrame.ResponseHead head) {
            target = head.target();
            if (!StatusCode.isValid(head.status())) {
                // A host of an earlier version passes on any status.
                cancel();
                listener.failed(AttemptFailure.UNKNOWN, "the response has an invalid status");
                return;
            }
            backup = head.backup();
            listener.headersReceived(head.status(), unflatten(head.headers()));
        }

        @Override
        public void cancel() {
            if (calls.remove(number) != null) {
                send(new PeerFrame.CallCancel(number));
            }
        }
    }
}
