package org.rattanplank.cli;

import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An HTTP response with a JSON body. Thread safe as long as the body is not modified.
 *
 * @param status the HTTP status
 * @param body the parsed body
 */
record JsonResponse(int status, JsonNode body) {
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MIN_NON_SUCCESS_STATUS = 300;

    JsonResponse {
        Objects.requireNonNull(body, "body");
    }

    boolean isSuccess() {
        return status >= MIN_SUCCESS_STATUS && status < MIN_NON_SUCCESS_STATUS;
    }
}
