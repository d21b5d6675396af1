package org.rattanplank.gateway.pass;

import java.util.Objects;

import org.rattanplank.gateway.GatewayRequest;

/**
 * A request whose connection to its target has ended. Immutable and thread safe.
 *
 * @param request the request
 * @param inFlightMillis how long it had been in flight there
 */
record InterruptedRequest(GatewayRequest request, long inFlightMillis) {
    InterruptedRequest {
        Objects.requireNonNull(request, "request");
    }
}
