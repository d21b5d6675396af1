package org.rattanplank.daemon.caller;

import java.util.Map;
import java.util.Objects;

/**
 * What a caller gets: a whole body, or a stream whose parts follow. Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param contentType the media type, or empty
 * @param headers the further headers
 * @param body the body, empty for a stream
 * @param stream whether parts follow
 */
record CallerReply(int status, String contentType, Map<String, String> headers, byte[] body, boolean stream) {
    CallerReply {
        contentType = Objects.requireNonNullElse(contentType, "");
        headers = Map.copyOf(headers);
        body = body == null ? new byte[0] : body;
    }
}
