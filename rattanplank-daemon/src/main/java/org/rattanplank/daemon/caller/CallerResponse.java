package org.rattanplank.daemon.caller;

import java.util.Map;
import java.util.Objects;

/**
 * A response to a caller: either with its complete body, or the headers of a stream. Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param contentType the media type, or empty
 * @param headers the additional headers
 * @param body the body, empty for a stream
 * @param stream whether stream events follow
 */
record CallerResponse(int status, String contentType, Map<String, String> headers, byte[] body, boolean stream) {
    CallerResponse {
        contentType = Objects.requireNonNullElse(contentType, "");
        headers = Map.copyOf(headers);
        body = body == null ? new byte[0] : body;
    }
}
