package org.rattanplank.core.gateway;

/**
 * Paces what a host moves in the background to a share of its link.
 *
 * <p>Invariant: in any time span, no more bytes are counted than the share bears in it and {@link #BURST_MILLIS}, plus one
 * count. Confined to one thread.
 */
public final class LinkShare {
    /** Bytes are moved in steps that are so far apart, and each step moves those of the time until the next. */
    static final long BURST_MILLIS = 50;

    private final double bytesPerMilli;
    private double freeAtMillis = Double.NEGATIVE_INFINITY;

    private LinkShare(double bytesPerMilli) {
        this.bytesPerMilli = bytesPerMilli;
    }

    /**
     * Makes an unused share.
     *
     * @param linkBytesPerMilli what the link takes
     * @param share the part of it, above 0 and at most 1
     * @return the share
     */
    public static LinkShare of(double linkBytesPerMilli, double share) {
        if (!(linkBytesPerMilli > 0) || !(share > 0) || share > 1) {
            throw new IllegalArgumentException("a share of " + share + " of " + linkBytesPerMilli + " bytes/ms");
        }
        return new LinkShare(linkBytesPerMilli * share);
    }

    /**
     * Whether more bytes may be moved.
     *
     * @param nowMillis the time
     * @return whether the share bears them
     */
    public boolean isAvailable(long nowMillis) {
        return freeAtMillis <= nowMillis + BURST_MILLIS;
    }

    /**
     * How long the share is taken by what was moved.
     *
     * @param nowMillis the time
     * @return milliseconds, zero if it is free
     */
    public long delayMillis(long nowMillis) {
        return Math.max(0, (long) Math.ceil(freeAtMillis - nowMillis));
    }

    /**
     * Counts bytes that were moved.
     *
     * @param bytes how many
     * @param nowMillis the time
     */
    public void consume(long bytes, long nowMillis) {
        freeAtMillis = Math.max(freeAtMillis, nowMillis) + bytes / bytesPerMilli;
    }
}
