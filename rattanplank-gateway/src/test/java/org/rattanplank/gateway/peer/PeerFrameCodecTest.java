package org.rattanplank.gateway.peer;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.RegionStreams;
import org.rattanplank.core.gateway.SentWork;
import org.rattanplank.core.gateway.StreamPace;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.core.gateway.WaitingTokens;
import org.rattanplank.core.host.Place;
import org.rattanplank.gateway.store.StoreItem;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PeerFrameCodecTest {
    /**
     * The newest revision, how long work may be sent there, the known revision, the link and whether it reads large reads, of
     * the state that is cut short.
     */
    private static final int NEWER_FIELDS_BYTES = 1 + 9 + 1 + 1 + 1;

    private static PeerFrame roundTrip(PeerFrame frame) {
        return PeerFrameCodec.decode(PeerFrameCodec.encode(frame)).get();
    }

    @Test
    void shouldReadWhatWasWrittenWhenFramesHaveNoBytes() {
        List<PeerFrame> frames = List.of(
                new PeerFrame.Hello(new GatewayHost("h", 5, Place.of("r", "d"), "10.0.0.1:1", "10.0.0.1:2")),
                new PeerFrame.State(
                        1,
                        2,
                        3,
                        500,
                        true,
                        9,
                        -7,
                        false,
                        true,
                        List.of(new PeerFrame.TargetWork(
                                "t", new SentWork(2, new WaitingTokens(1, 2, 3), 4), new StreamPace(2, 120.5, 1))),
                        List.of(new PeerFrame.RegionLoad("s", Urgency.LAST, 1.5, 0.25, new RegionStreams(80.5, 0.5))),
                        11,
                        1_000,
                        10,
                        1_250,
                        true),
                new PeerFrame.AnswerHead(4, 200, List.of("a", "b"), "t"),
                new PeerFrame.LargeRead(new PeerFrame.TargetWork(
                        "t", new SentWork(2, new WaitingTokens(1, 2, 3), 4), new StreamPace(2, 120.5, 1))),
                new PeerFrame.AnswerEnd(4),
                new PeerFrame.AnswerFailed(4, "UNKNOWN", "why", "t"),
                new PeerFrame.Cancel(4),
                new PeerFrame.Leaving(4));

        frames.forEach(frame -> assertEquals(frame, roundTrip(frame)));
    }

    @Test
    void shouldPackItemsOfTheStoreWhenTheReceiverReadsThem() {
        byte[] value = "route ".repeat(20_000).getBytes(StandardCharsets.UTF_8);
        PeerFrame.StoreItems items =
                new PeerFrame.StoreItems(0, 7, 30, List.of(new StoreItem("configuration", value, 5, false)));

        byte[] packed = PeerFrameCodec.encode(items, true);
        PeerFrame.StoreItems read =
                (PeerFrame.StoreItems) PeerFrameCodec.decode(packed).get();

        assertTrue(packed.length * 10 < PeerFrameCodec.encode(items, false).length, "bytes: " + packed.length);
        assertEquals(7, read.revision());
        assertEquals(30, read.lenientMillis());
        assertArrayEquals(value, read.items().get(0).value());
    }

    @Test
    void shouldFailWithoutHarmWhenAPackedFrameIsCutShort() {
        byte[] value = new byte[10_000];
        byte[] packed = PeerFrameCodec.encode(
                new PeerFrame.StoreItems(0, 7, 30, List.of(new StoreItem("configuration", value, 5, false))), true);

        assertTrue(
                PeerFrameCodec.decode(Arrays.copyOf(packed, packed.length - 4)).isFailure());
    }

    @Test
    void shouldReadAStateWhenItComesFromAHostThatTellsNoNewestRevision() {
        PeerFrame.State state = new PeerFrame.State(
                1,
                2,
                3,
                500,
                true,
                9,
                -7,
                false,
                true,
                List.of(),
                List.of(),
                0,
                PeerFrame.State.FOR_GOOD,
                PeerFrame.State.UNTOLD,
                0,
                false);
        byte[] bytes = PeerFrameCodec.encode(state);

        assertEquals(
                state,
                PeerFrameCodec.decode(Arrays.copyOf(bytes, bytes.length - NEWER_FIELDS_BYTES))
                        .get());
    }

    @Test
    void shouldReadARequestWhenItsBodyHoldsAnyBytes() {
        byte[] body = {0, -1, 13, 10, 127};
        PeerFrame.Ask ask = new PeerFrame.Ask(
                1,
                2,
                "s",
                "q",
                "POST",
                "/a?b",
                "h",
                List.of("x", "y"),
                body,
                900,
                700,
                20,
                "3",
                Urgency.FIRST,
                true,
                List.of("t"));

        PeerFrame.Ask read = (PeerFrame.Ask) roundTrip(ask);

        assertEquals(ask.headers(), read.headers());
        assertEquals(
                List.of((byte) 0, (byte) -1, (byte) 13, (byte) 10, (byte) 127),
                List.of(read.body()[0], read.body()[1], read.body()[2], read.body()[3], read.body()[4]));
        assertEquals(Urgency.FIRST, read.urgency());
        assertEquals(700, read.echoedMillis());
        assertEquals(20, read.echoAgeMillis());
    }

    @Property
    void shouldFailWithoutHarmWhenBytesAreNoFrame(@ForAll byte[] bytes) {
        assertTrue(PeerFrameCodec.decode(bytes).isFailure()
                || PeerFrameCodec.decode(bytes).get() != null);
    }
}
