package org.rattanplank.gateway;

import java.util.Objects;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import org.rattanplank.core.gateway.Work;

/**
 * A request to be passed through. Immutable by convention: nobody changes its headers or body.
 *
 * @param id its identifier, empty if the caller gave none
 * @param method its method
 * @param uri its path and query, byte for byte as they came
 * @param authority the host name that the caller addressed
 * @param headers what is passed on: no header of a connection and none that only this system sets
 * @param body its whole body
 * @param timeoutMillis how long the caller waits, from its arrival; none if it didn't say
 * @param lastEventId the last event of the stream that the caller has; none if it begins
 * @param work what it asks of a target
 */
public record GatewayRequest(
        String id,
        String method,
        String uri,
        String authority,
        HttpHeaders headers,
        byte[] body,
        Option<Long> timeoutMillis,
        Option<String> lastEventId,
        Work work) {
    public GatewayRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
    }

    /**
     * The path that routes are matched with.
     *
     * @return the path without its query
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
