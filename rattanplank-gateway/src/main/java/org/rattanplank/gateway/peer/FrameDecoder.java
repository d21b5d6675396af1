package org.rattanplank.gateway.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Splits the received bytes of a connection to another host into frames.
 *
 * <p>Invariants: received bytes that are not part of a complete frame belong to the one incomplete frame; no more than
 * one read of it is kept in direct memory, which is small and shared by all connections. Confined to the event loop.
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
        setCumulator(FrameDecoder::cumulateOnHeap);
    }

    private static ByteBuf cumulateOnHeap(ByteBufAllocator allocator, ByteBuf cumulation, ByteBuf read) {
        if (!cumulation.isReadable()) {
            cumulation.release();
            return read;
        }
        try {
            int bytes = cumulation.readableBytes() + read.readableBytes();
            if (!cumulation.isDirect() && cumulation.maxFastWritableBytes() >= read.readableBytes()) {
                return cumulation.writeBytes(read);
            }
            ByteBuf larger = allocator.heapBuffer(allocator.calculateNewCapacity(bytes, Integer.MAX_VALUE));
            larger.writeBytes(cumulation).writeBytes(read);
            cumulation.release();
            return larger;
        } finally {
            read.release();
        }
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
