package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * What a request may expect at one place, and what it would cost others there. Immutable and thread safe.
 *
 * @param region the region of the place, empty if there is none or it is not named
 * @param waitMillis the time that is due to other requests there; infinite if there is no place
 * @param expectedMillis the time to its first event or answer, the way there included; infinite if there is no place
 * @param delayCostMillis what reading its prompt takes from streams there that are behind
 * @param overrunMillis how much longer than it may it would take
 */
public record Outlook(
        String region, double waitMillis, double expectedMillis, double delayCostMillis, double overrunMillis) {
    /** No place may serve it. */
    public static final Outlook NONE = new Outlook("", Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0, 0);

    public Outlook {
        Objects.requireNonNull(region, "region");
    }

    /**
     * Names the region.
     *
     * @param name its name
     * @return the same outlook there
     */
    Outlook inRegion(String name) {
        return new Outlook(name, waitMillis, expectedMillis, delayCostMillis, overrunMillis);
    }

    /**
     * What counts against the place when places are compared.
     *
     * @return milliseconds; infinite if there is no place
     */
    double costMillis() {
        return expectedMillis + delayCostMillis + overrunMillis;
    }

    /**
     * Whether it should be refused rather than served there.
     *
     * @param objectiveMillis the time to its first event that its caller hopes for
     * @param urgency how urgent it is
     * @return whether it would be late, or make others late
     */
    public boolean shouldRefuse(long objectiveMillis, Urgency urgency) {
        return Admission.shouldRefuse(waitMillis, expectedMillis, objectiveMillis, urgency)
                || Admission.delaysTooMuch(waitMillis, delayCostMillis, objectiveMillis, urgency);
    }

    /**
     * Takes the better of two.
     *
     * @param other another place
     * @return the one that is expected to answer first; this one if both are alike
     */
    Outlook earlierOf(Outlook other) {
        return other.expectedMillis + other.delayCostMillis < expectedMillis + delayCostMillis ? other : this;
    }
}
