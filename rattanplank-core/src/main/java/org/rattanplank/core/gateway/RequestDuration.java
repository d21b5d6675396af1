package org.rattanplank.core.gateway;

import io.vavr.control.Option;

/**
 * What a host that shuts down knows of how long a request will take.
 *
 * <p>Invariant: only the limit is a bound; the recent maximum is an estimate, which the next request may exceed.
 * Immutable and thread safe.
 *
 * @param recentMaxMillis the recent maximum duration of requests of its route, if any were observed
 * @param limitMillis the time until its deadline, at which it ends in any case
 * @param interruptible whether it may be answered with a failure instead, and sent again by its caller
 */
public record RequestDuration(Option<Long> recentMaxMillis, long limitMillis, boolean interruptible) {
    /** A request that ends at once: a host that rejects it accepts none. */
    public static final RequestDuration NONE = new RequestDuration(Option.some(0L), 0, true);

    /** A request of which nothing is known. */
    public static final RequestDuration UNKNOWN = new RequestDuration(Option.none(), Long.MAX_VALUE, false);

    /** An interruptible request is expected to take less than so many times the recent maximum. */
    private static final double SAFETY_FACTOR = 1.5;

    /** Checks the durations. */
    public RequestDuration {
        if (recentMaxMillis.exists(millis -> millis < 0)) {
            throw new IllegalArgumentException("the recent maximum duration must not be negative");
        }
    }

    /** Returns whether it is certain to end within a time. */
    boolean endsWithin(long millis) {
        return limitMillis <= millis;
    }

    /** Returns whether nothing that is known shows that it takes longer than a time. */
    boolean mayEndWithin(long millis) {
        return endsWithin(millis) || recentMaxMillis.forAll(max -> max <= millis);
    }

    /** Returns whether it is certain to end within a time, or is expected to and may be interrupted. */
    boolean isSafeWithin(long millis) {
        return endsWithin(millis) || interruptible && recentMaxMillis.exists(max -> SAFETY_FACTOR * max <= millis);
    }
}
