package org.rattanplank.standins.platform;

/**
 * A lease. Immutable and thread safe.
 *
 * @param id its identifier
 * @param ttlMillis its term
 * @param endsAtMillis when it lapses unless it is kept
 */
record Lease(long id, long ttlMillis, long endsAtMillis) {
    Lease kept(long nowMillis) {
        return new Lease(id, ttlMillis, nowMillis + ttlMillis);
    }

    boolean hasLapsed(long nowMillis) {
        return nowMillis >= endsAtMillis;
    }
}
