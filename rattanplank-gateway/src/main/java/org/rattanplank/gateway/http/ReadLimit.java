package org.rattanplank.gateway.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * How much of one connection is read in one turn of the event loop, by who sends it.
 *
 * <p>Invariant: a connection that has received more is read on in the next turn, after all others. Immutable and thread
 * safe.
 */
public enum ReadLimit {
    /** Several reads, so that the end of a connection is seen together with its last request. */
    CALLER(8, false),
    /** A target may send an answer in chunks of one byte, of which each costs much more than its bytes. */
    TARGET(1, true),
    /** Another entry host, whose frames may be as small. */
    HOST(4, true),
    /** The platform's store. */
    STORE(4, true),
    /** Whoever asks for readiness, entry hosts or metrics. */
    ADMIN(1, true);

    /** The largest buffer that one read fills; an incomplete message of a connection keeps one. */
    static final int MAX_READ_BYTES = 16 << 10;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2_048;

    private final int readsPerTurn;
    private final boolean endsAtPartialRead;

    ReadLimit(int readsPerTurn, boolean endsAtPartialRead) {
        this.readsPerTurn = readsPerTurn;
        this.endsAtPartialRead = endsAtPartialRead;
    }

    /**
     * Returns the limit.
     *
     * @return the maximum number of bytes a turn
     */
    public int bytesPerTurn() {
        return readsPerTurn * MAX_READ_BYTES;
    }

    /**
     * Returns the option of a connection that keeps the limit.
     *
     * @return the allocator of its reads
     */
    public RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .respectMaybeMoreData(endsAtPartialRead)
                .maxMessagesPerRead(readsPerTurn);
    }
}
