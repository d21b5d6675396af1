package org.rattanplank.core.gateway;

import java.util.Map;

import io.vavr.control.Option;

/**
 * Whether a request is served in its own region or in another one.
 *
 * <p>Invariant: work leaves the region only if it gains by it, also when the regions' reports are somewhat wrong; so two
 * regions under the same load don't swap work. Stateless and thread safe.
 */
public final class RegionChooser {
    /** While the own region is expected to answer within this part of the objective, nothing is gained elsewhere. */
    static final double LOCAL_OBJECTIVE_FRACTION = 0.4;

    /** Another region must be expected to be faster by this factor, the way there included. */
    static final double MIN_SPEEDUP_FACTOR = 1.3;

    private RegionChooser() {}

    /**
     * Chooses a region.
     *
     * @param localMillis the time expected in the own region; infinite if it can't serve the request
     * @param remoteMillis the time expected in each other region that may serve it, the way included
     * @param objectiveMillis the time that callers hope for
     * @return the other region, or none to stay
     */
    public static Option<String> choose(double localMillis, Map<String, Double> remoteMillis, long objectiveMillis) {
        if (localMillis <= LOCAL_OBJECTIVE_FRACTION * objectiveMillis) {
            return Option.none();
        }
        String best = null;
        double bestMillis = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, Double> remote : remoteMillis.entrySet()) {
            if (remote.getValue() < bestMillis) {
                best = remote.getKey();
                bestMillis = remote.getValue();
            }
        }
        return bestMillis * MIN_SPEEDUP_FACTOR < localMillis ? Option.of(best) : Option.none();
    }
}
