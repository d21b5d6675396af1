package org.rattanplank.gateway.target;

import java.util.Objects;

import org.rattanplank.core.gateway.Work;
import org.rattanplank.gateway.GatewayRequest;

/**
 * A request as it goes to one target. Immutable.
 *
 * @param request the request
 * @param work what it asks, with its urgency
 * @param remainingMillis how long the target may take
 * @param lastEventId the event behind which a stream is to go on, or empty
 */
public record TargetCall(GatewayRequest request, Work work, long remainingMillis, String lastEventId) {
    public TargetCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(lastEventId, "lastEventId");
    }
}
