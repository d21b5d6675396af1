package org.rattanplank.daemon.http;

import java.util.Map;
import java.util.Objects;

import io.netty.handler.codec.http.HttpMethod;

/**
 * An HTTP request whose response is processed incrementally. Immutable and thread safe as long as the body array is not
 * modified.
 *
 * @param address the IP address
 * @param port the port
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers except for host and content length
 * @param body the body
 */
public record ExchangeRequest(
        String address, int port, String method, String path, Map<String, String> headers, byte[] body) {
    public ExchangeRequest {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = Map.copyOf(headers);
        body = body == null ? new byte[0] : body;
    }

    /**
     * Returns whether the response has no body regardless of its headers.
     *
     * @return whether the method is HEAD
     */
    public boolean isHeadRequest() {
        return method.equals(HttpMethod.HEAD.name());
    }
}
