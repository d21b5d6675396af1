package org.rattanplank.cli;

/**
 * A range of size ranks among a route's generations, whose served fraction must not fall far below the route's. Immutable
 * and thread safe.
 */
enum SizeBand {
    /** The tenth of the requests with the largest size. */
    LARGEST_TENTH("largest tenth", 0, 1),
    /** The fifth of the requests next in size. */
    FIFTH_BELOW("fifth below it", 1, 3);

    private static final long TENTHS = 10;

    private final String label;
    private final int fromTenth;
    private final int toTenth;

    SizeBand(String label, int fromTenth, int toTenth) {
        this.label = label;
        this.fromTenth = fromTenth;
        this.toTenth = toTenth;
    }

    String label() {
        return label;
    }

    /** Returns the first rank of the band, zero for the largest request. */
    long startRank(long requests) {
        return roundedUpRank(requests, fromTenth);
    }

    /** Returns the rank after the last one of the band. */
    long endRank(long requests) {
        return roundedUpRank(requests, toTenth);
    }

    /** Rounds up, so that the largest tenth of fewer than ten requests contains the largest one. */
    private static long roundedUpRank(long requests, int tenths) {
        return (requests * tenths + TENTHS - 1) / TENTHS;
    }
}
