package org.rattanplank.gateway.peer;

import java.util.Arrays;

import org.rattanplank.core.gateway.LinkShare;

/**
 * A frame on its way to another host, part by part. Confined to the event loop.
 *
 * <p>Invariant: the parts in their order are the frame, and only the last one says that it is whole.
 */
final class StoreTransfer {
    /** What a caller's request waits for behind a part: 7 ms on a link of 10 Mbit/s. */
    static final int PART_BYTES = 8 << 10;

    private final byte[] frame;
    private final LinkShare share;
    private final long revision;
    private int sentBytes;

    /**
     * Makes a transfer that has not begun.
     *
     * @param frame the frame as it is written
     * @param share what it is counted to
     * @param revision the revision up to which the receiver knows everything with it
     */
    StoreTransfer(byte[] frame, LinkShare share, long revision) {
        this.frame = frame;
        this.share = share;
        this.revision = revision;
    }

    LinkShare share() {
        return share;
    }

    long revision() {
        return revision;
    }

    boolean isDone() {
        return sentBytes == frame.length;
    }

    PeerFrame.Part next() {
        int end = Math.min(frame.length, sentBytes + PART_BYTES);
        byte[] part = Arrays.copyOfRange(frame, sentBytes, end);
        sentBytes = end;
        return new PeerFrame.Part(isDone(), part);
    }
}
