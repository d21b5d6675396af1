package org.rattanplank.daemon.call;

import java.util.Objects;

/**
 * Names one attempt. Immutable and thread safe.
 *
 * @param requestId the request
 * @param attempt the attempt's number
 */
public record AttemptKey(String requestId, int attempt) {
    public AttemptKey {
        Objects.requireNonNull(requestId, "requestId");
    }
}
