package org.rattanplank.core.gateway;

import java.util.Map;

import io.vavr.control.Option;

/**
 * Decides whether a request is served in this host's region or in another one.
 *
 * <p>Invariant: a request leaves the region only if it gains by it, even when the regions' reports are somewhat
 * inaccurate, so that two regions under the same load don't exchange requests. Stateless and thread safe.
 */
public final class RegionChooser {
    /**
     * While this host's region is expected to answer within this fraction of the latency objective, nothing is gained
     * elsewhere.
     */
    static final double LOCAL_OBJECTIVE_FRACTION = 0.4;

    /** Factor by which another region must be expected to be faster, the network round trip included. */
    static final double MIN_SPEEDUP_FACTOR = 1.3;

    private RegionChooser() {}

    /**
     * Chooses a region.
     *
     * @param localMillis the time expected in this host's region; infinite if it can't serve the request
     * @param remoteMillis the time expected in each other region that may serve the request, the network round trip
     *     included
     * @param objectiveMillis the latency objective
     * @return the other region, or none to serve the request locally
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
