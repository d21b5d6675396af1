package org.rattanplank.daemon.http;

import java.util.Map;
import java.util.Objects;

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
}
