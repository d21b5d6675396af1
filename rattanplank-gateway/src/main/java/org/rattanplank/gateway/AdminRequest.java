package org.rattanplank.gateway;

import java.util.Objects;

/**
 * A request of an operator or of the platform. Immutable and thread safe.
 *
 * @param method the method
 * @param uri the path with its query
 */
record AdminRequest(String method, String uri) {
    AdminRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
    }
}
