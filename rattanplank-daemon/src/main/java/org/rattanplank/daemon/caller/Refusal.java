package org.rattanplank.daemon.caller;

import java.util.Objects;

import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;

/**
 * Why a request is refused before the core sees it. Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param failure the failure
 * @param retryAfterMillis when to come back, zero if that does not help
 */
record Refusal(int status, Failure failure, long retryAfterMillis) {
    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int NOT_FOUND = 404;
    static final int TIMED_OUT = 408;
    static final int BODY_TOO_LARGE = 413;
    static final int HEADERS_TOO_LARGE = 431;
    static final int UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    Refusal {
        Objects.requireNonNull(failure, "failure");
    }

    static Refusal accept(int status, String peer, String reason) {
        return new Refusal(status, Failure.of(Step.ACCEPT, peer, reason), 0);
    }

    static Refusal busy(String host, String reason) {
        return new Refusal(UNAVAILABLE, Failure.of(Step.ADMIT, host, reason), RETRY_AFTER_MILLIS);
    }
}
