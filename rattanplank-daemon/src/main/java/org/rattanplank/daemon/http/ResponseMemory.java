package org.rattanplank.daemon.http;

import java.util.concurrent.TimeUnit;

import org.rattanplank.core.gateway.MemoryBudget;

/**
 * Divides memory among the responses that are being received.
 *
 * <p>Invariant: the buffers of all responses together never take more than the total. Thread safe.
 */
public final class ResponseMemory {
    /** The part of the heap for responses: each may be copied once more when it is complete. */
    private static final int HEAP_PART = 4;

    private final MemoryBudget budget;

    private ResponseMemory(MemoryBudget budget) {
        this.budget = budget;
    }

    /**
     * Creates memory of which nothing is held.
     *
     * @param totalBytes the most that may be held in all
     * @return the memory
     */
    public static ResponseMemory of(long totalBytes) {
        return new ResponseMemory(MemoryBudget.of(totalBytes));
    }

    /**
     * Creates the memory of a process.
     *
     * @return a part of the heap
     */
    public static ResponseMemory ofHeap() {
        return of(Runtime.getRuntime().maxMemory() / HEAP_PART);
    }

    /**
     * Creates a buffer for one response.
     *
     * @return the buffer, which holds nothing
     */
    public ResponseBuffer newBuffer() {
        return new ResponseBuffer(this);
    }

    /**
     * Returns what all buffers hold.
     *
     * @return the bytes
     */
    public synchronized long heldBytes() {
        return budget.heldBytes();
    }

    synchronized boolean tryGrow(long ownBytes, long wantedBytes) {
        return budget.tryGrow(ownBytes, wantedBytes);
    }

    synchronized void release(long bytes) {
        budget.release(bytes, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }
}
