package org.rattanplank.daemon.call;

import java.util.Objects;

/**
 * Identifies one attempt of a request. Immutable and thread safe.
 *
 * @param requestId the request's identifier
 * @param attempt the attempt's number
 */
public record AttemptKey(String requestId, int attempt) {
    public AttemptKey {
        Objects.requireNonNull(requestId, "requestId");
    }
}
