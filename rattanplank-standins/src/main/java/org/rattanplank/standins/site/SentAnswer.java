package org.rattanplank.standins.site;

import java.util.Objects;

/**
 * What a replica answered to one run of a request. Immutable and thread safe.
 *
 * @param requestId the identifier of the request
 * @param stamp names the run; no two runs have the same
 * @param status the status
 * @param contentType the type of the body
 * @param body the whole body, of which the replica may have sent a part only
 */
public record SentAnswer(String requestId, String stamp, int status, String contentType, String body) {
    public SentAnswer {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(stamp, "stamp");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
