package org.rattanplank.bench.soak;

import java.util.Objects;

/**
 * A call made by the soak test and the response that its caller received. Immutable and thread safe.
 *
 * @param id the request identifier
 * @param stream whether it requested a resumable stream; otherwise a booking, which may be executed at most once
 * @param status the status of the response; zero if no complete headers were received
 * @param body the part of the body that was received
 * @param complete whether the response ended as a complete one does
 */
record SoakCall(String id, boolean stream, int status, String body, boolean complete) {
    SoakCall {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(body, "body");
    }
}
