package org.rattanplank.core.route;

/**
 * Decides with hysteresis whether requests of one service may spill over to another region.
 *
 * <p>Invariant: it opens only when the smoothed gain of spillover is above the policy's opening gain, and closes only
 * when the gain is at or below the closing gain. Guarded by the router's lock.
 */
final class SpilloverGate {
    private static final double SMOOTHING_FACTOR = 0.2;

    private final Policy policy;
    private double smoothedGainMillis;
    private boolean open;

    private SpilloverGate(Policy policy) {
        this.policy = policy;
    }

    static SpilloverGate closed(Policy policy) {
        return new SpilloverGate(policy);
    }

    boolean isOpen() {
        return open;
    }

    /**
     * Updates the smoothed gain and decides on one request.
     *
     * @param requestGainMillis by how much the best other region's score is lower, network latency and prefill included
     * @return whether the request is sent to the other region
     */
    boolean shouldSpillOver(double requestGainMillis) {
        smoothedGainMillis += SMOOTHING_FACTOR * (requestGainMillis - smoothedGainMillis);
        if (open) {
            open = smoothedGainMillis > policy.closingGainMillis();
        } else {
            open = smoothedGainMillis > policy.openingGainMillis();
        }
        return open && requestGainMillis > 0;
    }
}
