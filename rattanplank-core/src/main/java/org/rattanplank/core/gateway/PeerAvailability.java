package org.rattanplank.core.gateway;

/** The availability of the other hosts of a region while one of them shuts down. Immutable and thread safe. */
public enum PeerAvailability {
    /** One accepts work, or will for longer than the host that shuts down could. */
    ACCEPTING {
        @Override
        long acceptUntilMillis(long closeMillis) {
            return 0;
        }
    },

    /** None accepts work, but there are some, and the first that is back will. */
    UNAVAILABLE {
        @Override
        long acceptUntilMillis(long closeMillis) {
            return closeMillis - MIN_REMAINING_MILLIS;
        }
    },

    /** There is none: the region is served again soonest if the shutdown is short. */
    NONE {
        @Override
        long acceptUntilMillis(long closeMillis) {
            return ShutdownPlan.MIN_SERVE_MILLIS;
        }
    };

    /**
     * Time before the close in which the last host of a region accepts no more work, as hardly any request would end.
     */
    static final long MIN_REMAINING_MILLIS = 1_000;

    /**
     * Time by which another host must be able to go on longer, as hosts observe each other's state with that delay.
     */
    private static final long COMPARISON_MARGIN_MILLIS = 200;

    /**
     * Determines the availability.
     *
     * @param hasPeers whether there are other hosts
     * @param peerAcceptsCallers whether one of them accepts callers
     * @param maxPeerAcceptMillis the maximum time for which another host that is shutting down will accept work
     * @param ownAcceptMillis the time for which this host could
     * @return the availability
     */
    public static PeerAvailability of(
            boolean hasPeers, boolean peerAcceptsCallers, long maxPeerAcceptMillis, long ownAcceptMillis) {
        if (peerAcceptsCallers || maxPeerAcceptMillis > ownAcceptMillis + COMPARISON_MARGIN_MILLIS) {
            return ACCEPTING;
        }
        return hasPeers ? UNAVAILABLE : NONE;
    }

    /** Returns until when after the start of a shutdown the host accepts work instead of the others. */
    abstract long acceptUntilMillis(long closeMillis);
}
