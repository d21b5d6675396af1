package org.rattanplank.standins.platform;

/**
 * A lease. Immutable and thread safe.
 *
 * @param id its identifier
 * @param ttlMillis its time to live
 * @param expiresAtMillis when it expires unless it is renewed
 */
record Lease(long id, long ttlMillis, long expiresAtMillis) {
    Lease renewed(long nowMillis) {
        return new Lease(id, ttlMillis, nowMillis + ttlMillis);
    }

    boolean hasExpired(long nowMillis) {
        return nowMillis >= expiresAtMillis;
    }
}
