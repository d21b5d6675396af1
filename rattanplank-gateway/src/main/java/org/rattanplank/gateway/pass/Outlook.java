package org.rattanplank.gateway.pass;

import java.util.Objects;

/**
 * What a request may expect at the place that would answer it first. Immutable and thread safe.
 *
 * @param region the region of the place, empty if there is none
 * @param waitMillis the time that is due to other requests there; infinite if there is no place
 * @param expectedMillis the time to its first event, the way there included; infinite if there is no place
 */
record Outlook(String region, double waitMillis, double expectedMillis) {
    /** No place may serve it. */
    static final Outlook NONE = new Outlook("", Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

    Outlook {
        Objects.requireNonNull(region, "region");
    }
}
