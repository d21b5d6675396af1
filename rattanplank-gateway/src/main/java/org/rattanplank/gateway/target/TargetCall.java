package org.rattanplank.gateway.target;

import java.util.Objects;

import org.rattanplank.gateway.GatewayRequest;

/**
 * A request as it goes to one target. Immutable.
 *
 * @param request the request
 * @param remainingMillis how long the target may take
 * @param lastEventId the event behind which a stream is to go on, or empty
 * @param urgency how urgent it is among the target's requests, 0 first
 */
public record TargetCall(GatewayRequest request, long remainingMillis, String lastEventId, int urgency) {
    public TargetCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(lastEventId, "lastEventId");
    }
}
