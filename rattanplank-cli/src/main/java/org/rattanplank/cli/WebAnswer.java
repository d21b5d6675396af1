package org.rattanplank.cli;

import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An answer over HTTP. Thread safe as long as nobody changes the body.
 *
 * @param status the status
 * @param body the body
 */
record WebAnswer(int status, JsonNode body) {
    private static final int OK = 200;
    private static final int FIRST_ERROR = 300;

    WebAnswer {
        Objects.requireNonNull(body, "body");
    }

    boolean isGood() {
        return status >= OK && status < FIRST_ERROR;
    }
}
