package org.rattanplank.gateway.target;

import java.util.Objects;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.gateway.GatewayRequest;

/**
 * A request as it is sent to one target. Immutable but for the backup, which is confined to the event loop.
 *
 * @param request the request
 * @param work the estimated work of the request, with its urgency
 * @param remainingMillis the time left for the target to respond
 * @param lastEventId the event after which a stream is to be resumed, or empty
 * @param atMostOnce whether the request must run at most once
 * @param backup the target that receives the KV cache of the stream as it grows, or none
 * @param failover whether the receiving target holds the backup of the stream and continues from it
 */
public record TargetCall(
        GatewayRequest request,
        Work work,
        long remainingMillis,
        String lastEventId,
        boolean atMostOnce,
        Option<GatewayTarget> backup,
        boolean failover) {
    public TargetCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(lastEventId, "lastEventId");
        Objects.requireNonNull(backup, "backup");
    }

    /**
     * Creates a call without a backup.
     *
     * @param request the request
     * @param work the estimated work of the request, with its urgency
     * @param remainingMillis the time left for the target to respond
     * @param lastEventId the event after which a stream is to be resumed, or empty
     * @param atMostOnce whether the request must run at most once
     */
    public TargetCall(GatewayRequest request, Work work, long remainingMillis, String lastEventId, boolean atMostOnce) {
        this(request, work, remainingMillis, lastEventId, atMostOnce, Option.none(), false);
    }

    /**
     * Returns the same call with a backup.
     *
     * @param target the target that holds the backup
     * @return the call
     */
    public TargetCall withBackup(Option<GatewayTarget> target) {
        return new TargetCall(request, work, remainingMillis, lastEventId, atMostOnce, target, failover);
    }

    /**
     * Returns the call that continues the stream at its backup.
     *
     * @param remainingWork the work that is left
     * @param millis the time left for the backup to respond
     * @param eventId the last event that was forwarded, or empty
     * @return the call
     */
    public TargetCall failOver(Work remainingWork, long millis, String eventId) {
        return new TargetCall(request, remainingWork, millis, eventId, atMostOnce, Option.none(), true);
    }
}
