package org.rattanplank.core.quarantine;

import java.util.Objects;

/**
 * A request that was in flight at a target when it crashed. Immutable and thread safe.
 *
 * @param identity the request
 * @param inFlightMillis how long it had been in flight
 */
public record LostRequest(RequestIdentity identity, long inFlightMillis) {
    public LostRequest {
        Objects.requireNonNull(identity, "identity");
        if (inFlightMillis < 0) {
            throw new IllegalArgumentException("a request was lost before it was sent");
        }
    }

    /**
     * Returns a request without prompt parts that others may share.
     *
     * @param fingerprint the request
     * @return the lost request
     */
    public static LostRequest of(Fingerprint fingerprint) {
        return new LostRequest(RequestIdentity.of(fingerprint), 0);
    }
}
