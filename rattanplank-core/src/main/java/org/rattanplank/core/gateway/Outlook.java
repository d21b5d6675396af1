package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * What a request may expect at one place. Immutable and thread safe.
 *
 * @param region the region of the place, empty if there is none
 * @param waitMillis the time that is due to other requests there; infinite if there is no place
 * @param expectedMillis the time to its first event or answer, the way there included; infinite if there is no place
 */
public record Outlook(String region, double waitMillis, double expectedMillis) {
    /** No place may serve it. */
    public static final Outlook NONE = new Outlook("", Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

    public Outlook {
        Objects.requireNonNull(region, "region");
    }

    /**
     * Takes the better of two.
     *
     * @param other another place
     * @return the one that is expected to answer first; this one if both are alike
     */
    Outlook orSooner(Outlook other) {
        return other.expectedMillis < expectedMillis ? other : this;
    }
}
