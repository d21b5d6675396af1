package org.rattanplank.core.quarantine;

import java.util.List;
import java.util.Objects;

/**
 * What of a request may be blamed for a crash. Immutable and thread safe.
 *
 * @param fingerprint the request as a whole
 * @param promptParts the identifiers of the prompt parts that other requests may share
 */
public record RequestIdentity(Fingerprint fingerprint, List<String> promptParts) {
    public RequestIdentity {
        Objects.requireNonNull(fingerprint, "fingerprint");
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Returns the identity of a request without prompt parts that others may share.
     *
     * @param fingerprint the request
     * @return the identity
     */
    public static RequestIdentity of(Fingerprint fingerprint) {
        return new RequestIdentity(fingerprint, List.of());
    }
}
