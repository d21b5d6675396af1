package org.rattanplank.core.route;

import org.rattanplank.core.request.WorkClass;

/**
 * The fraction of a service's recent requests that is at least as urgent as a work class. Engines run more urgent
 * requests first, so a request waits only behind this fraction of the backlog.
 *
 * <p>Invariant: each fraction is between zero and one. Guarded by the router's lock.
 */
final class WorkClassMix {
    private static final double SMOOTHING_FACTOR = 0.02;

    private final double[] shares = new double[WorkClass.values().length];

    WorkClassMix() {
        java.util.Arrays.fill(shares, 1);
    }

    void recordRequest(WorkClass workClass) {
        for (int i = 0; i < shares.length; i++) {
            double ahead = workClass.ordinal() <= i ? 1 : 0;
            shares[i] += SMOOTHING_FACTOR * (ahead - shares[i]);
        }
    }

    double shareAheadOf(WorkClass workClass) {
        return shares[workClass.ordinal()];
    }
}
