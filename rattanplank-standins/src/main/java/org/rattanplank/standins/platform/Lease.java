package org.rattanplank.standins.platform;

/**
 * A lease. Immutable and thread safe.
 *
 * @param id its identifier
 * @param ttlMillis its term
 * @param expiresAtMillis when it lapses unless it is kept
 */
record Lease(long id, long ttlMillis, long expiresAtMillis) {
    Lease renewed(long nowMillis) {
        return new Lease(id, ttlMillis, nowMillis + ttlMillis);
    }

    boolean hasExpired(long nowMillis) {
        return nowMillis >= expiresAtMillis;
    }
}
