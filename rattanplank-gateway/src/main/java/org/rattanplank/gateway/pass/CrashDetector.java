package org.rattanplank.gateway.pass;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.gateway.GatewayRequest;
import org.rattanplank.gateway.target.ConnectResult;
import org.rattanplank.gateway.target.TargetConnections;

/**
 * Finds out whether a target has crashed when a connection to it ended during a request. A crashed process refuses new
 * connections, while a reset connection, a truncated response or an overloaded target leave it reachable.
 *
 * <p>Invariants: requests are suspected only if the target was not leaving and then refused a connection; each loss is
 * reported back once, after the check. Confined to the event loop.
 */
final class CrashDetector {
    private final TargetConnections connections;
    private final RequestQuarantine quarantine;
    private final Map<GatewayTarget, List<Loss>> lossesByTarget = new HashMap<>();

    CrashDetector(TargetConnections connections, RequestQuarantine quarantine) {
        this.connections = connections;
        this.quarantine = quarantine;
    }

    /** Checks a target at which the connection of a request has ended, and then runs an action. */
    void connectionLost(GatewayTarget target, GatewayRequest request, Runnable onChecked) {
        if (target.isLeaving()) {
            onChecked.run();
            return;
        }
        List<Loss> checking = lossesByTarget.get(target);
        if (checking != null) {
            checking.add(new Loss(request, onChecked));
            return;
        }
        List<Loss> losses = new ArrayList<>();
        losses.add(new Loss(request, onChecked));
        lossesByTarget.put(target, losses);
        connections.check(target, result -> checked(target, result));
    }

    private void checked(GatewayTarget target, ConnectResult result) {
        List<Loss> losses = lossesByTarget.remove(target);
        if (result == ConnectResult.REFUSED) {
            // Before the actions: other hosts must know of the crash before a caller can send the request again.
            quarantine.crashed(
                    target.incarnationText(), losses.stream().map(Loss::request).toList());
        }
        losses.forEach(loss -> loss.onChecked().run());
    }

    private record Loss(GatewayRequest request, Runnable onChecked) {}
}
