package org.rattanplank.daemon.caller;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import io.vavr.control.Option;

/**
 * An HTTP request of a caller. Immutable and thread safe as long as the body array is not modified.
 *
 * @param method the HTTP method
 * @param path the path without its leading slash
 * @param query the query, or empty
 * @param headers the headers by case-insensitive name
 * @param body the body
 */
record CallerRequest(String method, String path, String query, Map<String, String> headers, byte[] body) {
    CallerRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        query = Objects.requireNonNullElse(query, "");
        Map<String, String> caseInsensitive = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        caseInsensitive.putAll(headers);
        headers = Collections.unmodifiableMap(caseInsensitive);
        body = body == null ? new byte[0] : body;
    }

    Option<String> header(String name) {
        return Option.of(headers.get(name)).map(String::strip).filter(value -> !value.isEmpty());
    }
}
