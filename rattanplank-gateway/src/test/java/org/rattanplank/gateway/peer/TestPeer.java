package org.rattanplank.gateway.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.SentWork;
import org.rattanplank.core.gateway.StreamPace;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.core.gateway.WaitingTokens;
import org.rattanplank.core.host.Place;
import org.rattanplank.gateway.store.StoreItem;

/** A host of another region that says what a test has it say. Used by the test's thread alone. */
public final class TestPeer implements AutoCloseable {
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
    private static final long LINK_BYTES_PER_MILLI = 1_250;
    private static final long LONG_PERIOD_MILLIS = 60_000;

    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final DataOutputStream out;
    private long lastStateAtMillis;

    /**
     * Opens a link.
     *
     * @param address where the other host listens
     * @throws IOException if it can't be reached
     */
    public TestPeer(InetSocketAddress address) throws IOException {
        this(address, "h9", Place.of("labasa", "labasa-hall"));
    }

    /**
     * Opens a link.
     *
     * @param address where the other host listens
     * @param name its name
     * @param place where it stands
     * @throws IOException if it can't be reached
     */
    public TestPeer(InetSocketAddress address, String name, Place place) throws IOException {
        socket.connect(address, SOCKET_TIMEOUT_MILLIS);
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
        send(new PeerFrame.Hello(new GatewayHost(name, 1, place, "127.0.0.1:1", "127.0.0.1:2")));
    }

    /**
     * Asks for a request as if this host had heard the other's state just now.
     *
     * @param requestId the identifier of the request
     * @param remainingMillis the time that it has left
     * @param heard the state
     * @throws IOException if the link ended
     */
    public void ask(String requestId, long remainingMillis, PeerFrame.State heard) throws IOException {
        ask(requestId, remainingMillis, heard, Urgency.FIRST, List.of("Request-Id", requestId));
    }

    /**
     * Asks for a generation as if this host had heard the other's state just now.
     *
     * @param requestId the identifier of the request
     * @param remainingMillis the time that it has left
     * @param heard the state
     * @param urgency how urgent it is
     * @param promptTokens the tokens of its prompt
     * @throws IOException if the link ended
     */
    public void ask(String requestId, long remainingMillis, PeerFrame.State heard, Urgency urgency, int promptTokens)
            throws IOException {
        List<String> headers = List.of("Request-Id", requestId, "Tokens", promptTokens + ",10");
        ask(requestId, remainingMillis, heard, urgency, headers);
    }

    private void ask(
            String requestId, long remainingMillis, PeerFrame.State heard, Urgency urgency, List<String> headers)
            throws IOException {
        send(new PeerFrame.Ask(
                1,
                1,
                "desk",
                requestId,
                "POST",
                "/a/x",
                "desk.example",
                headers,
                new byte[] {1},
                remainingMillis,
                heard.sentAtMillis(),
                0,
                "",
                urgency,
                true,
                List.of()));
    }

    /**
     * Says that it has just started and that the store answers nothing.
     *
     * @throws IOException if the link ended
     */
    public void sayItKnowsNothing() throws IOException {
        send(new PeerFrame.State(
                1, 0, 0, 500, false, 0, 0, true, false, List.of(), List.of(), 0, 0, 0, LINK_BYTES_PER_MILLI, false));
    }

    /**
     * Says that it knows the configuration and lets others ask the store.
     *
     * @param storeDigest the sum over what it knows of the store
     * @param newestRevision the newest change that it knows
     * @throws IOException if the link ended
     */
    public void sayItKnows(long storeDigest, long newestRevision) throws IOException {
        sayItKnows(storeDigest, newestRevision, false, 0);
    }

    private void sayItKnows(long storeDigest, long newestRevision, boolean follows, long linkBytesPerMilli)
            throws IOException {
        send(new PeerFrame.State(
                1,
                0,
                0,
                500,
                true,
                1,
                storeDigest,
                follows,
                true,
                List.of(),
                List.of(),
                newestRevision,
                1_000,
                newestRevision,
                linkBytesPerMilli,
                false));
    }

    /**
     * Says that it knows the configuration and asks the store itself.
     *
     * @param newestRevision the newest change that it knows
     * @throws IOException if the link ended
     */
    public void sayItFollows(long newestRevision) throws IOException {
        sayItKnows(0, newestRevision, true, LINK_BYTES_PER_MILLI);
    }

    /**
     * Sends a frame of items in parts, as a crowded link does.
     *
     * @param bytes the bytes of its one item
     * @param parts the number of parts
     * @param pauseMillis the pause after each
     * @throws IOException if the link ended
     * @throws InterruptedException if the test is ended
     */
    public void sendSlowly(int bytes, int parts, long pauseMillis) throws IOException, InterruptedException {
        byte[] frame = PeerFrameCodec.encode(
                new PeerFrame.StoreItems(0, 0, 0, List.of(new StoreItem("slow", new byte[bytes], 1, false))));
        out.writeInt(frame.length);
        int part = frame.length / parts + 1;
        for (int at = 0; at < frame.length; at += part) {
            out.write(frame, at, Math.min(part, frame.length - at));
            out.flush();
            Thread.sleep(pauseMillis);
        }
    }

    /**
     * Sends an item in a frame of several parts, with a state between them.
     *
     * @param revision the item's revision
     * @param bytes its bytes
     * @param partBytes the bytes of each part but the last
     * @throws IOException if the link ended
     */
    public void sendInParts(long revision, int bytes, int partBytes) throws IOException {
        byte[] frame = PeerFrameCodec.encode(
                new PeerFrame.StoreItems(0, 0, 0, List.of(new StoreItem("parts", new byte[bytes], revision, false))));
        for (int at = 0; at < frame.length; at += partBytes) {
            int end = Math.min(frame.length, at + partBytes);
            send(new PeerFrame.Fragment(end == frame.length, Arrays.copyOfRange(frame, at, end)));
            sayItKnows(0, 1);
        }
    }

    /** Reads whatever comes, on a thread of its own, until the link ends. */
    public void readOn() {
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
     * Tells that it ends and that it took no call after the one given.
     *
     * @param lastCall the number of the call
     * @throws IOException if the link ended
     */
    public void leave(long lastCall) throws IOException {
        send(new PeerFrame.Leaving(lastCall));
    }

    /**
     * Says that its region answers for a service soon.
     *
     * @param service the service
     * @throws IOException if the link ended
     */
    public void sayItServes(String service) throws IOException {
        List<PeerFrame.RegionLoad> loads = List.of(
                new PeerFrame.RegionLoad(service, Urgency.FIRST, 1, 0),
                new PeerFrame.RegionLoad(service, Urgency.MIDDLE, 1, 0),
                new PeerFrame.RegionLoad(service, Urgency.LAST, 1, 0));
        send(new PeerFrame.State(
                1, 0, 0, 500, true, 1, 0, false, true, List.of(), loads, 0, 1_000, 0, LINK_BYTES_PER_MILLI, false));
    }

    /**
     * Says that it has no work under way and will say its state again only after a long time, so that the link stays.
     *
     * @param readsLargeReads whether it reads large reads
     * @throws IOException if the link ended
     */
    public void sayItIsIdle(boolean readsLargeReads) throws IOException {
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
                readsLargeReads));
    }

    /**
     * Tells that it has sent a request with a long prompt to a target.
     *
     * @param target the run of the target, by its text
     * @param tokens the tokens of the prompt
     * @throws IOException if the link ended
     */
    public void tellOfLargeRead(String target, int tokens) throws IOException {
        SentWork work = new SentWork(1, WaitingTokens.of(Urgency.FIRST, tokens), tokens);
        send(new PeerFrame.LargeRead(new PeerFrame.TargetWork(target, work, StreamPace.NONE)));
    }

    /**
     * Reads until the other host answers the state that was said last.
     *
     * @return what came before that answer, and the answer
     * @throws IOException if the link ended
     */
    public List<PeerFrame> framesUntilHeard() throws IOException {
        List<PeerFrame> frames = new ArrayList<>();
        while (true) {
            PeerFrame frame = await(PeerFrame.class);
            frames.add(frame);
            if (frame instanceof PeerFrame.State answer && answer.echoedMillis() == lastStateAtMillis) {
                return frames;
            }
        }
    }

    /**
     * Reads until a frame of a kind comes.
     *
     * @param kind the kind
     * @param <T> the kind
     * @return the frame
     * @throws IOException if the link ended
     */
    public <T extends PeerFrame> T await(Class<T> kind) throws IOException {
        while (true) {
            PeerFrame frame = PeerFrameCodec.decode(in.readNBytes(in.readInt())).get();
            if (kind.isInstance(frame)) {
                return kind.cast(frame);
            }
        }
    }

    /**
     * Reads what comes until the other host ends the link.
     *
     * @return whether the link ended behind a whole frame, and each could be read
     * @throws IOException if the link broke
     */
    public boolean readsToTheEnd() throws IOException {
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
