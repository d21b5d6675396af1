package org.rattanplank.bench.soak;

import java.util.Objects;

/**
 * One call of the soak and what its caller saw. Immutable and thread safe.
 *
 * @param id its identifier
 * @param stream whether it asked for a stream that may be resumed, rather than for a booking that may run once
 * @param status the status of the answer, zero if no head came
 * @param body what came of the body
 * @param whole whether the answer ended as a whole one does
 */
record SoakCall(String id, boolean stream, int status, String body, boolean whole) {
    SoakCall {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(body, "body");
    }
}
