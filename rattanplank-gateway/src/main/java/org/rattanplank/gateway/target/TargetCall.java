package org.rattanplank.gateway.target;

import java.util.Objects;

import org.rattanplank.core.gateway.Work;
import org.rattanplank.gateway.GatewayRequest;

/**
 * A request as it is sent to one target. Immutable.
 *
 * @param request the request
 * @param work the estimated work of the request, with its urgency
 * @param remainingMillis the time left for the target to respond
 * @param lastEventId the event after which a stream is to be resumed, or empty
 */
public record TargetCall(GatewayRequest request, Work work, long remainingMillis, String lastEventId) {
    public TargetCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(lastEventId, "lastEventId");
    }
}
