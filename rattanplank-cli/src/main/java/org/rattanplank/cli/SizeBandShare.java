package org.rattanplank.cli;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * Fraction of a size band's generations that was served, compared with the whole route. Immutable and thread safe.
 *
 * @param band the size band
 * @param requests the number of requests in the band, at least one
 * @param servedShare the fraction of these requests that was served
 * @param routeServedShare the fraction of all generations of the route that was served
 */
record SizeBandShare(SizeBand band, long requests, double servedShare, double routeServedShare) {
    private static final double MIN_RATIO_TO_ROUTE = 0.5;

    SizeBandShare {
        Objects.requireNonNull(band, "band");
        if (requests < 1) {
            throw new IllegalArgumentException("a band needs at least one request");
        }
    }

    /** Returns the band's served fraction divided by the route's, or none if the route served nothing. */
    Option<Double> ratioToRoute() {
        return routeServedShare > 0 ? Option.some(servedShare / routeServedShare) : Option.none();
    }

    /** Returns whether the band's served fraction is less than half of the route's. */
    boolean isUnderserved() {
        return ratioToRoute().exists(ratio -> ratio < MIN_RATIO_TO_ROUTE);
    }
}
