package org.rattanplank.daemon.http;

import java.net.URI;
import java.util.Map;
import java.util.Objects;

/**
 * A short HTTP call. Immutable and thread safe as long as nobody writes into the body.
 *
 * @param method the method
 * @param uri where to
 * @param headers further headers
 * @param body the body, empty for none; JSON unless the headers say otherwise
 * @param timeoutMillis when it is given up
 */
public record WebCall(String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis) {
    public WebCall {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        headers = Map.copyOf(headers);
        body = body == null ? new byte[0] : body;
    }

    /**
     * Makes a call that reads.
     *
     * @param uri where to
     * @param timeoutMillis when it is given up
     * @return the call
     */
    public static WebCall get(URI uri, long timeoutMillis) {
        return new WebCall("GET", uri, Map.of(), new byte[0], timeoutMillis);
    }

    /**
     * Makes a call that posts JSON.
     *
     * @param uri where to
     * @param json the body
     * @param timeoutMillis when it is given up
     * @return the call
     */
    public static WebCall post(URI uri, byte[] json, long timeoutMillis) {
        return new WebCall("POST", uri, Map.of(), json, timeoutMillis);
    }

    /**
     * Makes a call that deletes.
     *
     * @param uri where to
     * @param timeoutMillis when it is given up
     * @return the call
     */
    public static WebCall delete(URI uri, long timeoutMillis) {
        return new WebCall("DELETE", uri, Map.of(), new byte[0], timeoutMillis);
    }

    /**
     * Copies this call with one more header.
     *
     * @param name the header
     * @param value its value
     * @return the copy
     */
    public WebCall withHeader(String name, String value) {
        Map<String, String> more = new java.util.HashMap<>(headers);
        more.put(name, value);
        return new WebCall(method, uri, more, body, timeoutMillis);
    }
}
