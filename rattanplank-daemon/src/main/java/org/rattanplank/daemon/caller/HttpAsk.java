package org.rattanplank.daemon.caller;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import io.vavr.control.Option;

/**
 * What a caller sent. Immutable and thread safe as long as nobody writes into the body.
 *
 * @param method the HTTP method
 * @param path the path without its first slash
 * @param query the query, or empty
 * @param headers the headers by name, whatever their case
 * @param body the body
 */
record HttpAsk(String method, String path, String query, Map<String, String> headers, byte[] body) {
    HttpAsk {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        query = Objects.requireNonNullElse(query, "");
        Map<String, String> anyCase = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        anyCase.putAll(headers);
        headers = Collections.unmodifiableMap(anyCase);
        body = body == null ? new byte[0] : body;
    }

    Option<String> header(String name) {
        return Option.of(headers.get(name)).map(String::strip).filter(value -> !value.isEmpty());
    }
}
