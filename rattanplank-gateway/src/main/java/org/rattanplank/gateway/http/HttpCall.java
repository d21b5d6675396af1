package org.rattanplank.gateway.http;

import java.util.Objects;

/**
 * A short call. Immutable by convention: nobody writes into the body.
 *
 * @param method its method
 * @param uri its path and query
 * @param body its body, empty for none
 * @param limitMillis how long connecting, sending and the whole answer may take together
 */
public record HttpCall(String method, String uri, byte[] body, long limitMillis) {
    public HttpCall {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Makes a call without a body.
     *
     * @param uri its path and query
     * @param limitMillis how long it may take
     * @return the call
     */
    public static HttpCall get(String uri, long limitMillis) {
        return new HttpCall("GET", uri, new byte[0], limitMillis);
    }
}
