package org.rattanplank.daemon.peer;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.rattanplank.schema.message.ForwardChunk;
import org.rattanplank.schema.message.ForwardEnd;
import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.UnknownMessage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FrameCodecTest {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    @Property(tries = 200, seed = "42")
    void shouldDecodeEncodedMessageWhenKindIsKnown(@ForAll String text, @ForAll long number, @ForAll byte[] body) {
        ForwardEnd end = new ForwardEnd(text, number, text, number, "route", text, text, "", number);
        assertEquals(end, FrameCodec.decode(FrameCodec.encode(end)).get());
        ForwardChunk chunk =
                (ForwardChunk) FrameCodec.decode(FrameCodec.encode(new ForwardChunk(text, number, number, body)))
                        .get();
        assertArrayEquals(body, chunk.body());
    }

    /*
     * Guards against a rolling update that makes the older hosts close every link: a newer host sends a field or a
     * message kind that an older one does not know, and a strict decoder rejects the frame.
     */
    @Test
    void shouldIgnoreUnknownFieldsAndKindsWhenPeerIsNewer() throws JsonProcessingException {
        byte[] newer = MAPPER.writeValueAsBytes(Map.of("kind", "Hello", "host", "suva-2", "colour", "blue"));
        assertEquals(new Hello("suva-2", 0, "", "", 0), FrameCodec.decode(newer).get());
        byte[] unknown = MAPPER.writeValueAsBytes(Map.of("kind", "Novelty", "parts", List.of(1, 2)));
        assertEquals(new UnknownMessage(), FrameCodec.decode(unknown).get());
        assertTrue(FrameCodec.decode(new byte[] {1, 2, 3}).isFailure());
    }
}
