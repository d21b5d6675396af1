package org.rattanplank.gateway.peer;

import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Splits the received bytes of a connection to another host into frames.
 *
 * <p>Invariant: received bytes that are not part of a complete frame belong to the one incomplete frame. Confined to the
 * event loop.
 */
public final class FrameDecoder extends LengthFieldBasedFrameDecoder {
    /** The size of the length that precedes each frame. */
    public static final int LENGTH_FIELD_BYTES = 4;

    /**
     * Creates a decoder that has received nothing yet.
     *
     * @param maxFrameBytes the maximum size of a frame without its length
     */
    public FrameDecoder(int maxFrameBytes) {
        super(maxFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
    }

    /**
     * Returns whether a part of a frame has been received.
     *
     * @return whether further bytes complete a frame; a part of its length is enough
     */
    public boolean hasIncompleteFrame() {
        return actualReadableBytes() > 0;
    }
}
