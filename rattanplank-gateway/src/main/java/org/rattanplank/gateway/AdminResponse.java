package org.rattanplank.gateway;

import java.util.Objects;

/**
 * A small HTTP response. Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param contentType the content type of the body
 * @param body the body
 */
public record AdminResponse(int status, String contentType, String body) {
    /** The status for malformed requests. */
    public static final int BAD_REQUEST = 400;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    public AdminResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Returns a plain text response.
     *
     * @param body the text
     * @return the response
     */
    public static AdminResponse text(String body) {
        return new AdminResponse(OK, "text/plain; charset=utf-8", body);
    }

    /**
     * Returns a JSON response.
     *
     * @param body the JSON
     * @return the response
     */
    public static AdminResponse json(String body) {
        return new AdminResponse(OK, "application/json", body);
    }

    /**
     * Returns a response with status 404.
     *
     * @return the response
     */
    public static AdminResponse notFound() {
        return new AdminResponse(NOT_FOUND, "text/plain; charset=utf-8", "not found\n");
    }

    /**
     * Returns a response with status 503.
     *
     * @return the response
     */
    public static AdminResponse unavailable() {
        return new AdminResponse(UNAVAILABLE, "text/plain; charset=utf-8", "not ready\n");
    }
}
