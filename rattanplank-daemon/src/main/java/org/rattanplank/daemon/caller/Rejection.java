package org.rattanplank.daemon.caller;

import java.util.Objects;

import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;

/**
 * The reason for which a request is rejected before it reaches the core. Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param failure the failure
 * @param retryAfterMillis the time after which to retry, or zero if a retry would not help
 */
record Rejection(int status, Failure failure, long retryAfterMillis) {
    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int NOT_FOUND = 404;
    static final int REQUEST_TIMEOUT = 408;
    static final int BODY_TOO_LARGE = 413;
    static final int HEADERS_TOO_LARGE = 431;
    static final int UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    Rejection {
        Objects.requireNonNull(failure, "failure");
    }

    static Rejection invalid(int status, String peer, String reason) {
        return new Rejection(status, Failure.of(Step.ACCEPT, peer, reason), 0);
    }

    static Rejection busy(String host, String reason) {
        return new Rejection(UNAVAILABLE, Failure.of(Step.ADMIT, host, reason), RETRY_AFTER_MILLIS);
    }
}
