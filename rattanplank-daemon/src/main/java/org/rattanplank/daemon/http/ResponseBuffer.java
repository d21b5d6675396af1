package org.rattanplank.daemon.http;

import java.util.Arrays;

/**
 * Buffers what was received of one response.
 *
 * <p>Invariants: beyond {@link #SMALL_BYTES}, memory is granted before it is allocated; after {@link #clear} nothing is
 * held. Not thread safe.
 */
public final class ResponseBuffer {
    /** The capacity that needs no grant, as most responses and stream events are smaller. */
    static final int SMALL_BYTES = 1 << 10;

    private final ResponseMemory memory;
    private byte[] bytes = {};
    private int size;
    private long heldBytes;

    ResponseBuffer(ResponseMemory memory) {
        this.memory = memory;
    }

    /**
     * Returns how many bytes are buffered.
     *
     * @return the bytes
     */
    public int size() {
        return size;
    }

    /**
     * Appends bytes.
     *
     * @param part the bytes
     * @return whether there was memory for them; otherwise nothing is appended
     */
    public boolean tryAppend(byte[] part) {
        if (!tryReserve(part.length)) {
            return false;
        }
        System.arraycopy(part, 0, bytes, size, part.length);
        size += part.length;
        return true;
    }

    /**
     * Appends a byte.
     *
     * @param each the byte
     * @return whether there was memory for it; otherwise it is not appended
     */
    public boolean tryAppend(byte each) {
        if (!tryReserve(1)) {
            return false;
        }
        bytes[size] = each;
        size++;
        return true;
    }

    private boolean tryReserve(int count) {
        int wanted = Math.addExact(size, count);
        if (wanted <= bytes.length) {
            return true;
        }
        int capacity = Math.max(wanted, Math.max(bytes.length * 2, SMALL_BYTES));
        if (capacity > SMALL_BYTES) {
            if (!memory.tryGrow(heldBytes, capacity)) {
                return false;
            }
            heldBytes = capacity;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /**
     * Removes and returns the bytes.
     *
     * @return the bytes
     */
    public byte[] take() {
        byte[] taken = Arrays.copyOf(bytes, size);
        clear();
        return taken;
    }

    /** Discards the bytes and gives their memory back. */
    public void clear() {
        size = 0;
        if (heldBytes > 0) {
            bytes = new byte[0];
            memory.release(heldBytes);
            heldBytes = 0;
        }
    }
}
