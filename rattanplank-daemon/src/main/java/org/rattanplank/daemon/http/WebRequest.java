package org.rattanplank.daemon.http;

import java.net.URI;
import java.util.Map;
import java.util.Objects;

/**
 * A short HTTP request. Immutable and thread safe as long as the body array is not modified.
 *
 * @param method the HTTP method
 * @param uri the URI
 * @param headers the additional headers
 * @param body the body, or empty; JSON unless the headers set another media type
 * @param timeoutMillis the timeout of the complete exchange
 */
public record WebRequest(String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis) {
    public WebRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        headers = Map.copyOf(headers);
        body = body == null ? new byte[0] : body;
    }

    /**
     * Creates a GET request.
     *
     * @param uri the URI
     * @param timeoutMillis the timeout of the complete exchange
     * @return the request
     */
    public static WebRequest get(URI uri, long timeoutMillis) {
        return new WebRequest("GET", uri, Map.of(), new byte[0], timeoutMillis);
    }

    /**
     * Creates a POST request with a JSON body.
     *
     * @param uri the URI
     * @param json the body
     * @param timeoutMillis the timeout of the complete exchange
     * @return the request
     */
    public static WebRequest post(URI uri, byte[] json, long timeoutMillis) {
        return new WebRequest("POST", uri, Map.of(), json, timeoutMillis);
    }

    /**
     * Creates a DELETE request.
     *
     * @param uri the URI
     * @param timeoutMillis the timeout of the complete exchange
     * @return the request
     */
    public static WebRequest delete(URI uri, long timeoutMillis) {
        return new WebRequest("DELETE", uri, Map.of(), new byte[0], timeoutMillis);
    }

    /**
     * Returns a copy of this request with an additional header.
     *
     * @param name the header's name
     * @param value the header's value
     * @return the copy
     */
    public WebRequest withHeader(String name, String value) {
        Map<String, String> extendedHeaders = new java.util.HashMap<>(headers);
        extendedHeaders.put(name, value);
        return new WebRequest(method, uri, extendedHeaders, body, timeoutMillis);
    }
}
