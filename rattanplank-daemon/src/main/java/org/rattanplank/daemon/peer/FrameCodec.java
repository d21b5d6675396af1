package org.rattanplank.daemon.peer;

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.rattanplank.schema.message.PeerMessage;

/**
 * Encodes and decodes messages as MessagePack maps.
 *
 * <p>Invariant: unknown fields and message kinds are ignored, so that hosts of older and newer versions interoperate.
 * Stateless and thread safe.
 */
public final class FrameCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    private FrameCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the frame without its length prefix
     */
    public static byte[] encode(PeerMessage message) {
        return Try.of(() -> MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message))
                .get();
    }

    /**
     * Decodes a message.
     *
     * @param frame the frame without its length prefix
     * @return the message, or the reason why the frame cannot be decoded
     */
    public static Try<PeerMessage> decode(byte[] frame) {
        return Try.of(() -> {
            checkComplete(frame);
            return MAPPER.readValue(frame, PeerMessage.class);
        });
    }

    /** Fails for a frame that declares more than it has: the mapper would take memory for what is declared. */
    private static void checkComplete(byte[] frame) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            unpacker.skipValue();
        }
    }
}
