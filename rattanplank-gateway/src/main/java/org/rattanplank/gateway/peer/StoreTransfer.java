package org.rattanplank.gateway.peer;

import java.util.Arrays;

import org.rattanplank.core.gateway.LinkRateLimiter;

/**
 * Splits an encoded frame into fragments for transfer to another host. Confined to the event loop.
 *
 * <p>Invariant: the fragments in order are the frame, and only the last one is marked as last.
 */
final class StoreTransfer {
    /** Delays a caller's request that is queued behind a fragment by 7 ms on a link of 10 Mbit/s. */
    static final int FRAGMENT_BYTES = 8 << 10;

    private final byte[] frame;
    private final LinkRateLimiter limiter;
    private final long revision;
    private int sentBytes;

    /**
     * Creates a transfer of which nothing is sent yet.
     *
     * @param frame the encoded frame
     * @param limiter the link share that its bytes are counted against
     * @param revision the revision up to which the receiver is complete once it has the frame
     */
    StoreTransfer(byte[] frame, LinkRateLimiter limiter, long revision) {
        this.frame = frame;
        this.limiter = limiter;
        this.revision = revision;
    }

    LinkRateLimiter share() {
        return limiter;
    }

    long revision() {
        return revision;
    }

    boolean isDone() {
        return sentBytes == frame.length;
    }

    PeerFrame.Fragment nextFragment() {
        int end = Math.min(frame.length, sentBytes + FRAGMENT_BYTES);
        byte[] fragment = Arrays.copyOfRange(frame, sentBytes, end);
        sentBytes = end;
        return new PeerFrame.Fragment(isDone(), fragment);
    }
}
