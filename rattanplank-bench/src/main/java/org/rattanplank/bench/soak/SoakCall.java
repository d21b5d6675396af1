package org.rattanplank.bench.soak;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

/**
 * A call made by the soak test and the response that its caller received. Immutable and thread safe.
 *
 * @param id the request identifier
 * @param stream whether it requested a resumable stream; otherwise a booking, which may be executed at most once
 * @param status the status of the response; zero if no complete headers were received
 * @param headers the values of each header, by its name in lower case
 * @param body the part of the body that was received
 * @param complete whether the response ended as a complete one does
 */
record SoakCall(
        String id, boolean stream, int status, Map<String, List<String>> headers, String body, boolean complete) {
    SoakCall {
        Objects.requireNonNull(id, "id");
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Returns all values of a header. */
    List<String> values(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), List.of());
    }
}
