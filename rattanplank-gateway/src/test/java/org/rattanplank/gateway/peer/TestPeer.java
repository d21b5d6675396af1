package org.rattanplank.gateway.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

import org.rattanplank.core.account.AccountUsage;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.InFlightWork;
import org.rattanplank.core.gateway.PrefillBacklog;
import org.rattanplank.core.gateway.StreamStats;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.core.host.Location;
import org.rattanplank.gateway.store.StoreContents;
import org.rattanplank.gateway.store.StoreCopy;
import org.rattanplank.gateway.store.StoreItem;
import org.rattanplank.gateway.target.AttemptFailure;

/** A simulated host that sends the frames that a test requests. Used by the test's thread only. */
public final class TestPeer implements AutoCloseable {
    /** The path of the requests that it forwards. */
    public static final String URI = "/a/x";

    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
    private static final long LINK_BYTES_PER_MILLI = 1_250;
    private static final long LONG_PERIOD_MILLIS = 60_000;

    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final DataOutputStream out;
    private long lastStateAtMillis;
    private byte[] remainder = {};

    /**
     * Opens a link.
     *
     * @param address the address at which the other host listens
     * @throws IOException if it is unreachable
     */
    public TestPeer(InetSocketAddress address) throws IOException {
        this(address, "h9", Location.of("labasa", "labasa-hall"));
    }

    /**
     * Opens a link.
     *
     * @param address the address at which the other host listens
     * @param name its name
     * @param location its region and data centre
     * @throws IOException if it is unreachable
     */
    public TestPeer(InetSocketAddress address, String name, Location location) throws IOException {
        socket.connect(address, SOCKET_TIMEOUT_MILLIS);
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
        send(new PeerFrame.Hello(new GatewayHost(name, 1, location, "127.0.0.1:1", "127.0.0.1:2")));
    }

    /**
     * Forwards a request as if the other host's state had been received just now.
     *
     * @param requestId the identifier of the request
     * @param remainingMillis the time left until its deadline
     * @param receivedState the state
     * @throws IOException if the link was closed
     */
    public void sendRequest(String requestId, long remainingMillis, PeerFrame.State receivedState) throws IOException {
        sendRequest(requestId, remainingMillis, receivedState, Urgency.FIRST, List.of("Request-Id", requestId));
    }

    /**
     * Forwards a generation request as if the other host's state had been received just now.
     *
     * @param requestId the identifier of the request
     * @param remainingMillis the time left until its deadline
     * @param receivedState the state
     * @param urgency its urgency
     * @param promptTokens the number of prompt tokens
     * @throws IOException if the link was closed
     */
    public void sendRequest(
            String requestId, long remainingMillis, PeerFrame.State receivedState, Urgency urgency, int promptTokens)
            throws IOException {
        List<String> headers = List.of("Request-Id", requestId, "Tokens", promptTokens + ",10");
        sendRequest(requestId, remainingMillis, receivedState, urgency, headers);
    }

    private void sendRequest(
            String requestId,
            long remainingMillis,
            PeerFrame.State receivedState,
            Urgency urgency,
            List<String> headers)
            throws IOException {
        send(request(requestId, remainingMillis, receivedState, urgency, headers, ""));
    }

    private static PeerFrame.CallRequest request(
            String requestId,
            long remainingMillis,
            PeerFrame.State receivedState,
            Urgency urgency,
            List<String> headers,
            String lastEventId) {
        return new PeerFrame.CallRequest(
                1,
                1,
                "desk",
                requestId,
                "POST",
                URI,
                "desk.example",
                headers,
                new byte[] {1},
                remainingMillis,
                receivedState.sentAtMillis(),
                0,
                lastEventId,
                urgency,
                true,
                List.of());
    }

    /**
     * Sends only the first bytes of a request.
     *
     * @param split where the request is split
     * @param requestId the identifier of the request
     * @param remainingMillis the time left until its deadline
     * @param receivedState the state
     * @throws IOException if the link was closed
     */
    public void sendPartOfRequest(
            CallSplit split, String requestId, long remainingMillis, PeerFrame.State receivedState) throws IOException {
        byte[] frame = PeerFrameCodec.encode(request(
                requestId, remainingMillis, receivedState, Urgency.FIRST, List.of("Request-Id", requestId), ""));
        byte[] bytes = split.wireBytes(frame);
        sendPart(bytes, split.partBytes(bytes));
    }

    private void sendPart(byte[] bytes, int partBytes) throws IOException {
        remainder = Arrays.copyOfRange(bytes, partBytes, bytes.length);
        out.write(bytes, 0, partBytes);
        out.flush();
    }

    /**
     * Sends the bytes that follow the part of a request that was sent.
     *
     * @throws IOException if the link was closed
     */
    public void sendRemainder() throws IOException {
        out.write(remainder);
        out.flush();
    }

    /**
     * Sends the length of a frame without its body.
     *
     * @param bytes the length
     * @throws IOException if the link was closed
     */
    public void sendFrameLength(int bytes) throws IOException {
        out.writeInt(bytes);
        out.flush();
    }

    /**
     * Sends the first fragment of a store item.
     *
     * @throws IOException if the link was closed
     */
    public void sendFirstFragmentOfItem() throws IOException {
        byte[] frame = PeerFrameCodec.encode(new PeerFrame.StoreItems(
                StoreContents.some(List.of(new StoreItem("parts", new byte[100], 1, false))), 0));
        byte[] bytes = CallSplit.BETWEEN_FRAGMENTS.wireBytes(frame);
        sendPart(bytes, CallSplit.BETWEEN_FRAGMENTS.partBytes(bytes));
    }

    /**
     * Returns the number of bytes sent so far.
     *
     * @return the number, including the lengths of the frames
     */
    public int sentBytes() {
        return out.size();
    }

    /**
     * Forwards a stream that is to be continued at its backup.
     *
     * @param requestId the identifier of the request
     * @param receivedState the last state of the other host
     * @param lastEventId the last event that the caller has
     * @param backup the target that holds the backup
     * @throws IOException if the link was closed
     */
    public void sendFailover(String requestId, PeerFrame.State receivedState, String lastEventId, String backup)
            throws IOException {
        List<String> headers = List.of("Request-Id", requestId, "Tokens", "100,50");
        PeerFrame.CallRequest request = request(requestId, 10_000, receivedState, Urgency.MIDDLE, headers, lastEventId);
        send(new PeerFrame.FailoverRequest(request, backup));
    }

    /**
     * Sends the beginning of a stream.
     *
     * @param call the number of the call
     * @param backup the target that holds the backup of the stream, or empty
     * @param events the first bytes of the stream
     * @throws IOException if the link was closed
     */
    public void sendStream(long call, String backup, String events) throws IOException {
        send(new PeerFrame.ResponseHead(call, 200, List.of(), "t1", backup));
        send(new PeerFrame.ResponseChunk(call, events.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /**
     * Sends a response.
     *
     * @param call the number of the call
     * @param status the status
     * @param body the body
     * @throws IOException if the link was closed
     */
    public void sendResponse(long call, int status, String body) throws IOException {
        send(new PeerFrame.ResponseHead(call, status, List.of(), "t1", ""));
        send(new PeerFrame.ResponseChunk(call, body.getBytes(StandardCharsets.ISO_8859_1)));
        send(new PeerFrame.ResponseEnd(call));
    }

    /**
     * Ends a call without a response.
     *
     * @param call the number of the call
     * @param failure how it failed
     * @throws IOException if the link was closed
     */
    public void sendFailure(long call, AttemptFailure failure) throws IOException {
        send(new PeerFrame.CallFailed(call, failure.name(), "failed by the test", ""));
    }

    /**
     * Ends a response.
     *
     * @param call the number of the call
     * @throws IOException if the link was closed
     */
    public void sendEnd(long call) throws IOException {
        send(new PeerFrame.ResponseEnd(call));
    }

    /**
     * Reports that it has just started and that the store does not respond to it.
     *
     * @throws IOException if the link was closed
     */
    public void reportEmptyCopy() throws IOException {
        send(new PeerFrame.State(
                1,
                0,
                0,
                500,
                false,
                0,
                0,
                true,
                false,
                List.of(),
                List.of(),
                0,
                0,
                0,
                LINK_BYTES_PER_MILLI,
                false,
                false,
                false,
                false,
                true,
                List.of(),
                List.of()));
    }

    /**
     * Reports that it has the configuration and leaves watching the store to others.
     *
     * @param storeDigest the digest of its local copy of the store
     * @param newestRevision the revision of the newest change that it has
     * @throws IOException if the link was closed
     */
    public void reportState(long storeDigest, long newestRevision) throws IOException {
        reportState(storeDigest, newestRevision, false, 0);
    }

    private void reportState(long storeDigest, long newestRevision, boolean watchesStore, long linkBytesPerMilli)
            throws IOException {
        send(new PeerFrame.State(
                1,
                0,
                0,
                500,
                true,
                1,
                storeDigest,
                watchesStore,
                true,
                List.of(),
                List.of(),
                newestRevision,
                1_000,
                newestRevision,
                linkBytesPerMilli,
                false,
                false,
                false,
                false,
                true,
                List.of(),
                List.of()));
    }

    /**
     * Reports that it has the configuration and watches the store itself.
     *
     * @param newestRevision the revision of the newest change that it has
     * @throws IOException if the link was closed
     */
    public void reportWatching(long newestRevision) throws IOException {
        reportState(0, newestRevision, true, LINK_BYTES_PER_MILLI);
    }

    /**
     * Reports what it has used of client accounts' allowances, and waits until the gateway has received that.
     *
     * @param usage the usage
     * @throws IOException if the link was closed
     */
    public void reportUsage(List<AccountUsage> usage) throws IOException {
        reportIdle(false, false, false, usage);
        framesUntilEchoed();
    }

    /**
     * Sends items of the store.
     *
     * @param contents the items
     * @throws IOException if the link was closed
     */
    public void sendStoreItems(StoreContents contents) throws IOException {
        send(new PeerFrame.StoreItems(contents, 0));
    }

    /**
     * Merges the store items that the other host sends into a copy until the copy is complete up to a revision.
     *
     * @param copy the copy
     * @param revision the revision
     * @throws IOException if the link was closed
     */
    public void mergeUntilComplete(StoreCopy copy, long revision) throws IOException {
        while (copy.revision() < revision) {
            copy.merge(await(PeerFrame.StoreItems.class).contents());
        }
    }

    /**
     * Sends the bytes of a frame in chunks with pauses, as a congested link does.
     *
     * @param bytes the size of its only item
     * @param chunks the number of chunks
     * @param pauseMillis the pause after each chunk
     * @throws IOException if the link was closed
     * @throws InterruptedException if the test is interrupted
     */
    public void sendSlowly(int bytes, int chunks, long pauseMillis) throws IOException, InterruptedException {
        byte[] frame = PeerFrameCodec.encode(new PeerFrame.StoreItems(
                StoreContents.some(List.of(new StoreItem("slow", new byte[bytes], 1, false))), 0));
        out.writeInt(frame.length);
        int chunkBytes = frame.length / chunks + 1;
        for (int offset = 0; offset < frame.length; offset += chunkBytes) {
            out.write(frame, offset, Math.min(chunkBytes, frame.length - offset));
            out.flush();
            Thread.sleep(pauseMillis);
        }
    }

    /**
     * Sends an item in several fragments, with a state report after each.
     *
     * @param revision the item's revision
     * @param bytes its size
     * @param fragmentBytes the size of each fragment but the last
     * @throws IOException if the link was closed
     */
    public void sendInFragments(long revision, int bytes, int fragmentBytes) throws IOException {
        byte[] frame = PeerFrameCodec.encode(new PeerFrame.StoreItems(
                StoreContents.some(List.of(new StoreItem("parts", new byte[bytes], revision, false))), 0));
        for (int offset = 0; offset < frame.length; offset += fragmentBytes) {
            int end = Math.min(frame.length, offset + fragmentBytes);
            send(new PeerFrame.Fragment(end == frame.length, Arrays.copyOfRange(frame, offset, end)));
            reportState(0, 1);
        }
    }

    /** Reads and discards all input on a separate thread until the link is closed. */
    public void drainInBackground() {
        Thread reader = new Thread(() -> {
            try {
                in.transferTo(OutputStream.nullOutputStream());
            } catch (IOException e) {
                // The test has closed the link.
                Thread.currentThread().interrupt();
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Sends the frame that it is leaving and accepted no call after the given one.
     *
     * @param lastCall the number of the call
     * @throws IOException if the link was closed
     */
    public void sendLeaving(long lastCall) throws IOException {
        send(new PeerFrame.Leaving(lastCall));
    }

    /**
     * Reports a low load of its region for a service.
     *
     * @param service the service
     * @throws IOException if the link was closed
     */
    public void reportRegionLoad(String service) throws IOException {
        List<PeerFrame.RegionLoad> loads = List.of(
                new PeerFrame.RegionLoad(service, Urgency.FIRST, 1, 0),
                new PeerFrame.RegionLoad(service, Urgency.MIDDLE, 1, 0),
                new PeerFrame.RegionLoad(service, Urgency.LAST, 1, 0));
        send(new PeerFrame.State(
                1,
                0,
                0,
                500,
                true,
                1,
                0,
                false,
                true,
                List.of(),
                loads,
                0,
                1_000,
                0,
                LINK_BYTES_PER_MILLI,
                false,
                false,
                false,
                false,
                true,
                List.of(),
                List.of()));
    }

    /**
     * Reports that it has no work in progress, with a long state report interval so that the link stays open.
     *
     * @param supportsLargePrefillNotices whether it accepts large prefill notices
     * @throws IOException if the link was closed
     */
    public void reportIdle(boolean supportsLargePrefillNotices) throws IOException {
        reportIdle(supportsLargePrefillNotices, false, false, List.of());
    }

    /**
     * Reports likewise that it accepts evidence of crashes.
     *
     * @param promptParts whether it also accepts evidence against prompt parts
     * @throws IOException if the link was closed
     */
    public void reportIdleWithCrashNotices(boolean promptParts) throws IOException {
        reportIdle(true, true, promptParts, List.of());
    }

    private void reportIdle(
            boolean supportsLargePrefillNotices,
            boolean supportsCrashNotices,
            boolean supportsPromptPartNotices,
            List<AccountUsage> accountUsage)
            throws IOException {
        lastStateAtMillis++;
        send(new PeerFrame.State(
                lastStateAtMillis,
                0,
                0,
                LONG_PERIOD_MILLIS,
                true,
                1,
                0,
                false,
                true,
                List.of(),
                List.of(),
                1,
                1_000,
                1,
                LINK_BYTES_PER_MILLI,
                supportsLargePrefillNotices,
                supportsCrashNotices,
                supportsPromptPartNotices,
                false,
                true,
                accountUsage,
                List.of()));
    }

    /**
     * Sends a notice that it has sent a request with a long prompt to a target.
     *
     * @param target the text of the target's incarnation
     * @param tokens the number of prompt tokens
     * @throws IOException if the link was closed
     */
    public void sendLargePrefillNotice(String target, int tokens) throws IOException {
        InFlightWork work = new InFlightWork(1, PrefillBacklog.of(Urgency.FIRST, tokens), tokens);
        send(new PeerFrame.LargePrefillNotice(new PeerFrame.TargetWork(target, work, StreamStats.NONE)));
    }

    /**
     * Reads until the other host echoes the last state that this one sent.
     *
     * @return the frames received before that echo, and the echo
     * @throws IOException if the link was closed
     */
    public List<PeerFrame> framesUntilEchoed() throws IOException {
        List<PeerFrame> frames = new ArrayList<>();
        while (true) {
            PeerFrame frame = await(PeerFrame.class);
            frames.add(frame);
            if (frame instanceof PeerFrame.State echo && echo.echoedMillis() == lastStateAtMillis) {
                return frames;
            }
        }
    }

    /**
     * Reads until a frame of a type is received.
     *
     * @param kind the type
     * @param <T> the type
     * @return the frame
     * @throws IOException if the link was closed; its message contains the frames that were skipped
     */
    public <T extends PeerFrame> T await(Class<T> kind) throws IOException {
        return kind.cast(await(kind.getSimpleName(), kind::isInstance));
    }

    /**
     * Reads until a call has ended.
     *
     * @param call the number of the call
     * @throws IOException if the link was closed before; its message contains the frames that were received
     */
    public void awaitCallEnd(long call) throws IOException {
        await(
                "end of call " + call,
                frame -> frame.equals(new PeerFrame.ResponseEnd(call))
                        || frame instanceof PeerFrame.CallFailed failed && failed.call() == call);
    }

    private PeerFrame await(String awaited, Predicate<PeerFrame> condition) throws IOException {
        List<PeerFrame> skipped = new ArrayList<>();
        while (true) {
            PeerFrame frame = read(awaited, skipped);
            if (condition.test(frame)) {
                return frame;
            }
            skipped.add(frame);
        }
    }

    private PeerFrame read(String awaited, List<PeerFrame> skipped) throws IOException {
        try {
            return PeerFrameCodec.decode(in.readNBytes(in.readInt())).get();
        } catch (IOException e) {
            throw new IOException("no " + awaited + " among " + skipped, e);
        }
    }

    /**
     * Reads frames until the other host closes the link.
     *
     * @return whether the link was closed after a complete frame, and each frame could be decoded
     * @throws IOException if the connection failed
     */
    public boolean readsUntilClosed() throws IOException {
        byte[] length = in.readNBytes(Integer.BYTES);
        while (length.length == Integer.BYTES) {
            if (PeerFrameCodec.decode(in.readNBytes(ByteBuffer.wrap(length).getInt()))
                    .isFailure()) {
                return false;
            }
            length = in.readNBytes(Integer.BYTES);
        }
        return length.length == 0;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private void send(PeerFrame frame) throws IOException {
        byte[] bytes = PeerFrameCodec.encode(frame);
        out.writeInt(bytes.length);
        out.write(bytes);
        out.flush();
    }
}
