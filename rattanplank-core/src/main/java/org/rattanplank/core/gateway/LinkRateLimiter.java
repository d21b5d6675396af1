package org.rattanplank.core.gateway;

/**
 * Limits the rate of a host's background transfers to a share of its link.
 *
 * <p>Invariant: in any time span, no more bytes are counted than the share allows in it and {@link #BURST_MILLIS}, plus
 * one count. Confined to one thread.
 */
public final class LinkRateLimiter {
    /** Interval between transfer steps; each step transfers the bytes of the time until the next one. */
    static final long BURST_MILLIS = 50;

    private final double bytesPerMilli;
    private double freeAtMillis = Double.NEGATIVE_INFINITY;

    private LinkRateLimiter(double bytesPerMilli) {
        this.bytesPerMilli = bytesPerMilli;
    }

    /**
     * Creates an unused limiter.
     *
     * @param linkBytesPerMilli the bandwidth of the link
     * @param share the fraction of it, above 0 and at most 1
     * @return the limiter
     */
    public static LinkRateLimiter of(double linkBytesPerMilli, double share) {
        if (!(linkBytesPerMilli > 0) || !(share > 0) || share > 1) {
            throw new IllegalArgumentException(
                    "invalid link share " + share + " of " + linkBytesPerMilli + " bytes/ms");
        }
        return new LinkRateLimiter(linkBytesPerMilli * share);
    }

    /**
     * Returns whether more bytes may be transferred.
     *
     * @param nowMillis the time
     * @return whether the share allows them
     */
    public boolean isAvailable(long nowMillis) {
        return freeAtMillis <= nowMillis + BURST_MILLIS;
    }

    /**
     * Returns how long the share is used up by earlier transfers.
     *
     * @param nowMillis the time
     * @return milliseconds, zero if it is free
     */
    public long delayMillis(long nowMillis) {
        return Math.max(0, (long) Math.ceil(freeAtMillis - nowMillis));
    }

    /**
     * Counts transferred bytes.
     *
     * @param bytes how many
     * @param nowMillis the time
     */
    public void consume(long bytes, long nowMillis) {
        freeAtMillis = Math.max(freeAtMillis, nowMillis) + bytes / bytesPerMilli;
    }
}
