package org.rattanplank.core.request;

import java.util.Arrays;
import java.util.Objects;

/**
 * A complete answer. Immutable and thread safe provided that the array of the body is not modified.
 *
 * @param status the HTTP status of the answer
 * @param contentType the media type
 * @param body the bytes; empty if the answer was streamed and its events have already been sent to the caller
 * @param streamed whether the answer was streamed to the caller
 */
public record Answer(int status, String contentType, byte[] body, boolean streamed) {
    private static final int FIRST_ERROR_STATUS = 400;

    public Answer {
        contentType = Objects.requireNonNullElse(contentType, "");
        body = body == null ? new byte[0] : body;
    }

    /**
     * Creates an answer with a complete body.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @param body the bytes
     * @return the answer
     */
    public static Answer of(int status, String contentType, byte[] body) {
        return new Answer(status, contentType, body, false);
    }

    /**
     * Creates the answer of a stream that completed normally.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @return the answer
     */
    public static Answer ofStream(int status, String contentType) {
        return new Answer(status, contentType, new byte[0], true);
    }

    /**
     * Returns whether the target served the request, rather than failed or rejected it.
     *
     * @return whether the status is below 400
     */
    public boolean isSuccess() {
        return status < FIRST_ERROR_STATUS;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Answer that
                && status == that.status
                && streamed == that.streamed
                && contentType.equals(that.contentType)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, contentType, streamed, Arrays.hashCode(body));
    }

    @Override
    public String toString() {
        return "Answer[status=" + status + ", contentType=" + contentType + ", bytes=" + body.length + ", streamed="
                + streamed + "]";
    }
}
