package org.rattanplank.standins.link;

/**
 * How a link treats its connections. Immutable and thread safe.
 *
 * @param resetsConnections whether open and new connections are reset
 * @param dropsForward whether bytes to the link's target are dropped
 * @param dropsBackward whether bytes from the link's target are dropped
 * @param delayMillis the additional one-way delay of bytes
 */
public record LinkState(boolean resetsConnections, boolean dropsForward, boolean dropsBackward, long delayMillis) {
    private static final LinkState UP = new LinkState(false, false, false, 0);

    /**
     * Returns the state of a link that forwards all bytes without delay.
     *
     * @return the state
     */
    public static LinkState up() {
        return UP;
    }

    /**
     * Returns the state of a link that resets all connections.
     *
     * @return the state
     */
    public static LinkState partitioned() {
        return new LinkState(true, false, false, 0);
    }

    /**
     * Returns the state of a link that drops all bytes of both directions.
     *
     * @return the state
     */
    public static LinkState dropping() {
        return new LinkState(false, true, true, 0);
    }

    /**
     * Returns the state of a link that delays all bytes.
     *
     * @param delayMillis the additional one-way delay of bytes
     * @return the state
     */
    public static LinkState delayed(long delayMillis) {
        return new LinkState(false, false, false, delayMillis);
    }
}
