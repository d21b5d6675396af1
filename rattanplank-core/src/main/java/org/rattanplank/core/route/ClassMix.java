package org.rattanplank.core.route;

import org.rattanplank.core.request.WorkClass;

/**
 * Which part of a service's recent requests is as urgent as a class, or more: engines let those run first, so a request
 * waits only behind this part of the backlog.
 *
 * <p>Invariant: each part is between zero and one. Confined to the router's lock.
 */
final class ClassMix {
    private static final double SMOOTHING = 0.02;

    private final double[] parts = new double[WorkClass.values().length];

    ClassMix() {
        java.util.Arrays.fill(parts, 1);
    }

    void sent(WorkClass workClass) {
        for (int i = 0; i < parts.length; i++) {
            double ahead = workClass.ordinal() <= i ? 1 : 0;
            parts[i] += SMOOTHING * (ahead - parts[i]);
        }
    }

    double partAheadOf(WorkClass workClass) {
        return parts[workClass.ordinal()];
    }
}
