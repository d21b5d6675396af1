package org.rattanplank.daemon.peer;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.rattanplank.schema.message.PeerMessage;

/**
 * Writes messages as MessagePack maps and reads them.
 *
 * <p>Invariant: fields and kinds that this version does not know are passed over, so that older and newer hosts
 * understand each other. Stateless and thread safe.
 */
public final class FrameCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    private FrameCodec() {}

    /**
     * Writes a message.
     *
     * @param message the message
     * @return the frame without its length
     */
    public static byte[] encode(PeerMessage message) {
        return Try.of(() -> MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message))
                .get();
    }

    /**
     * Reads a message.
     *
     * @param frame the frame without its length
     * @return the message, or why the frame is none
     */
    public static Try<PeerMessage> decode(byte[] frame) {
        return Try.of(() -> MAPPER.readValue(frame, PeerMessage.class));
    }
}
