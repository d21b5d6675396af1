package org.rattanplank.cli;

import java.util.Objects;

/**
 * A call that brought no answer. Immutable and thread safe.
 *
 * @param surelyNotSent whether the call surely had no effect
 * @param reason what happened
 */
record WebFailure(boolean surelyNotSent, String reason) {
    WebFailure {
        Objects.requireNonNull(reason, "reason");
    }
}
