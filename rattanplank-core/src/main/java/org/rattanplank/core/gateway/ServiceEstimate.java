package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * The estimate for a request at one candidate, and its cost to other requests there. Immutable and thread safe.
 *
 * @param region the region of the candidate, empty if there is none or it is not named
 * @param queueWaitMillis the share of the time that is due to other requests; infinite if there is no candidate
 * @param expectedMillis the time to the first event or answer, network round trip included; infinite if there is no
 *     candidate
 * @param delayCostMillis the time that its prefill takes from lagging streams there
 * @param overrunMillis by how much it would exceed its time
 */
public record ServiceEstimate(
        String region, double queueWaitMillis, double expectedMillis, double delayCostMillis, double overrunMillis) {
    /** There is no candidate. */
    public static final ServiceEstimate NONE =
            new ServiceEstimate("", Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0, 0);

    public ServiceEstimate {
        Objects.requireNonNull(region, "region");
    }

    /**
     * Sets the region.
     *
     * @param name its name
     * @return the same estimate for that region
     */
    ServiceEstimate inRegion(String name) {
        return new ServiceEstimate(name, queueWaitMillis, expectedMillis, delayCostMillis, overrunMillis);
    }

    /**
     * Returns the cost by which candidates are compared.
     *
     * @return milliseconds; infinite if there is no candidate
     */
    double costMillis() {
        return expectedMillis + delayCostMillis + overrunMillis;
    }

    /**
     * Returns whether the request should be rejected rather than served there.
     *
     * @param objectiveMillis the latency objective for its first event
     * @param urgency its urgency
     * @return whether it would be late, or make others late
     */
    public boolean shouldReject(long objectiveMillis, Urgency urgency) {
        return Admission.shouldReject(queueWaitMillis, expectedMillis, objectiveMillis, urgency)
                || Admission.delaysTooMuch(queueWaitMillis, delayCostMillis, objectiveMillis, urgency);
    }

    /**
     * Returns the estimate of the candidate that is expected to answer first.
     *
     * @param other the estimate of another candidate
     * @return the earlier one; this one if both are equal
     */
    ServiceEstimate earlierOf(ServiceEstimate other) {
        return other.expectedMillis + other.delayCostMillis < expectedMillis + delayCostMillis ? other : this;
    }
}
