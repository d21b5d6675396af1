package org.rattanplank.core.route;

/**
 * Whether one service's requests may leave the region now, with hysteresis.
 *
 * <p>Invariant: it opens only when the smoothed gain of leaving is above the policy's opening gain, and closes only when
 * it is below the closing gain. Confined to the router's lock.
 */
final class SpillGate {
    private static final double SMOOTHING = 0.2;

    private final Policy policy;
    private double gainMillis;
    private boolean open;

    private SpillGate(Policy policy) {
        this.policy = policy;
    }

    static SpillGate closed(Policy policy) {
        return new SpillGate(policy);
    }

    boolean isOpen() {
        return open;
    }

    /**
     * Decides on one request.
     *
     * @param requestGainMillis how much better the best other region is, its crossing and cold cache counted
     * @return whether the request leaves
     */
    boolean leaves(double requestGainMillis) {
        gainMillis += SMOOTHING * (requestGainMillis - gainMillis);
        if (open) {
            open = gainMillis > policy.closingGainMillis();
        } else {
            open = gainMillis > policy.openingGainMillis();
        }
        return open && requestGainMillis > 0;
    }
}
