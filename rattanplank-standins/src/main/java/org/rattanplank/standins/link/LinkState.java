package org.rattanplank.standins.link;

/**
 * How a relay treats its connections. Immutable and thread safe.
 *
 * @param resetsConnections whether connections are reset and new ones refused
 * @param dropsForward whether bytes towards the relay's target vanish
 * @param dropsBackward whether bytes from the relay's target vanish
 * @param delayMillis how much later bytes arrive
 */
public record LinkState(boolean resetsConnections, boolean dropsForward, boolean dropsBackward, long delayMillis) {
    private static final LinkState UP = new LinkState(false, false, false, 0);

    /**
     * A relay that passes everything on at once.
     *
     * @return the state
     */
    public static LinkState up() {
        return UP;
    }

    /**
     * A relay that resets all connections.
     *
     * @return the state
     */
    public static LinkState cutOff() {
        return new LinkState(true, false, false, 0);
    }

    /**
     * A relay that passes nothing on, in either direction.
     *
     * @return the state
     */
    public static LinkState silent() {
        return new LinkState(false, true, true, 0);
    }

    /**
     * A slow relay.
     *
     * @param delayMillis how much later bytes arrive
     * @return the state
     */
    public static LinkState delayed(long delayMillis) {
        return new LinkState(false, false, false, delayMillis);
    }
}
