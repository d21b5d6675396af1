package org.rattanplank.gateway.http;

import java.util.Objects;

/**
 * A short request. Immutable by convention: the body must not be modified.
 *
 * @param method the method
 * @param uri the path and query
 * @param body the body, empty for none
 * @param timeoutMillis how long connecting, sending and receiving the response may take together while no bytes of the
 *     response are received
 */
public record HttpClientRequest(String method, String uri, byte[] body, long timeoutMillis) {
    public HttpClientRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Creates a GET request.
     *
     * @param uri the path and query
     * @param timeoutMillis how long it may take while no bytes of the response are received
     * @return the request
     */
    public static HttpClientRequest get(String uri, long timeoutMillis) {
        return new HttpClientRequest("GET", uri, new byte[0], timeoutMillis);
    }
}
