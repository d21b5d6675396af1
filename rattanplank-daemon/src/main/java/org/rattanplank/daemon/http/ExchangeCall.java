package org.rattanplank.daemon.http;

import java.util.Map;
import java.util.Objects;

/**
 * A call whose answer is watched as it comes. Immutable and thread safe as long as nobody writes into the body.
 *
 * @param address the IP address
 * @param port the port
 * @param method the method
 * @param path the path and query
 * @param headers the headers but for host and length
 * @param body the body
 */
public record ExchangeCall(
        String address, int port, String method, String path, Map<String, String> headers, byte[] body) {
    public ExchangeCall {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = Map.copyOf(headers);
        body = body == null ? new byte[0] : body;
    }
}
