package org.rattanplank.gateway;

import java.util.Objects;

/**
 * A small answer. Immutable and thread safe.
 *
 * @param status its status
 * @param contentType what the body is
 * @param body the body
 */
public record AdminAnswer(int status, String contentType, String body) {
    /** The status of requests that can't be understood. */
    public static final int BAD_REQUEST = 400;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    public AdminAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Makes an answer with text.
     *
     * @param body the text
     * @return the answer
     */
    public static AdminAnswer text(String body) {
        return new AdminAnswer(OK, "text/plain; charset=utf-8", body);
    }

    /**
     * Makes an answer with JSON.
     *
     * @param body the JSON
     * @return the answer
     */
    public static AdminAnswer json(String body) {
        return new AdminAnswer(OK, "application/json", body);
    }

    /**
     * Makes an answer to what nothing is known of.
     *
     * @return the answer
     */
    public static AdminAnswer notFound() {
        return new AdminAnswer(NOT_FOUND, "text/plain; charset=utf-8", "not found\n");
    }

    /**
     * Makes an answer that says "not now".
     *
     * @return the answer
     */
    public static AdminAnswer unavailable() {
        return new AdminAnswer(UNAVAILABLE, "text/plain; charset=utf-8", "not ready\n");
    }
}
