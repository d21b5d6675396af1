package org.rattanplank.gateway.caller;

import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.rattanplank.core.gateway.MemoryBudget;

/**
 * The body of a connection's current request, with what it takes of the memory for bodies until its request ends.
 *
 * <p>Invariants: memory is granted before it is allocated; the buffers in which the parts were received, which may be much
 * larger than these, are not kept. Confined to the event loop.
 */
final class RequestBody {
    private final MemoryBudget memory;
    private final int maxBytes;
    private final LongSupplier nowMillis;
    private ByteBuf received = Unpooled.EMPTY_BUFFER;
    private int statedBytes;
    private long heldBytes;

    /**
     * Creates a body without bytes.
     *
     * @param memory grants the memory
     * @param maxBytes the maximum size that the configuration allows
     * @param nowMillis the clock
     */
    RequestBody(MemoryBudget memory, int maxBytes, LongSupplier nowMillis) {
        this.memory = memory;
        this.maxBytes = (int) Math.min(maxBytes, memory.maxHolderBytes());
        this.nowMillis = nowMillis;
    }

    /** Returns whether a body of this size can be received at all. */
    boolean isAllowed(long bytes) {
        return bytes <= maxBytes;
    }

    /** Returns how many bytes have been received. */
    int receivedBytes() {
        return received.readableBytes();
    }

    /**
     * Begins a body.
     *
     * @param contentLength its size, which is allowed; zero if it isn't stated
     * @return whether there is memory for it now
     */
    boolean begin(long contentLength) {
        statedBytes = (int) contentLength;
        return memory.mayGrow(0, statedBytes);
    }

    /**
     * Appends a part, with which the body is not larger than allowed.
     *
     * @param part the part
     * @return whether there was memory for it; otherwise nothing is appended
     */
    boolean tryAppend(ByteBuf part) {
        int bytes = receivedBytes() + part.readableBytes();
        if (bytes > received.capacity() && !tryGrow(bytes)) {
            return false;
        }
        received.writeBytes(part);
        return true;
    }

    private boolean tryGrow(int bytes) {
        int capacity = UnpooledByteBufAllocator.DEFAULT.calculateNewCapacity(
                bytes, statedBytes >= bytes ? statedBytes : maxBytes);
        if (!memory.tryGrow(heldBytes, capacity)) {
            return false;
        }
        heldBytes = capacity;
        received = Unpooled.buffer(capacity, capacity).writeBytes(received);
        return true;
    }

    /**
     * Estimates when there will be memory for a part that was not appended.
     *
     * @param partBytes the size of the part
     * @param maxMillis the longest time that is told
     * @return the time in milliseconds
     */
    long waitMillis(int partBytes, long maxMillis) {
        return memory.waitMillis(
                heldBytes, Math.max(receivedBytes() + partBytes, statedBytes), maxMillis, nowMillis.getAsLong());
    }

    /** Returns the whole body, whose memory stays held. */
    byte[] take() {
        byte[] whole = ByteBufUtil.getBytes(received, 0, receivedBytes(), false);
        received = Unpooled.EMPTY_BUFFER;
        shrinkTo(whole.length);
        return whole;
    }

    /** Discards the body, or gives back the memory of the one that was taken. */
    void release() {
        received = Unpooled.EMPTY_BUFFER;
        shrinkTo(0);
    }

    private void shrinkTo(long bytes) {
        if (heldBytes > bytes) {
            memory.release(heldBytes - bytes, nowMillis.getAsLong());
            heldBytes = bytes;
        }
    }
}
