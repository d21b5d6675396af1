package org.rattanplank.gateway.peer;

import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Splits the received bytes of a link into frames.
 *
 * <p>Invariant: received bytes that are not part of a complete frame belong to the one incomplete frame. Confined to the
 * event loop.
 */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {
    static final int LENGTH_FIELD_BYTES = 4;

    /** Large enough for a body of the maximum size with its headers, and for all contents of the store. */
    static final int MAX_FRAME_BYTES = 16 << 20;

    PeerFrameDecoder() {
        super(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
    }

    /** Returns whether a part of a frame has been received; a part of its length field is enough. */
    boolean hasIncompleteFrame() {
        return actualReadableBytes() > 0;
    }
}
