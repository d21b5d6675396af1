package org.rattanplank.cli;

import java.util.Objects;

/**
 * An HTTP call that failed without a response. Immutable and thread safe.
 *
 * @param definitelyNotSent whether the request was definitely not sent, so that it had no effect
 * @param reason the cause of the failure
 */
record CallFailure(boolean definitelyNotSent, String reason) {
    CallFailure {
        Objects.requireNonNull(reason, "reason");
    }
}
