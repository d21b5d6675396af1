package org.rattanplank.gateway.pass;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.gateway.target.ConnectResult;
import org.rattanplank.gateway.target.TargetConnections;

/**
 * Finds out whether a target has crashed when a connection to it ended during a request or with its response. A crashed
 * process refuses new connections, while a reset connection, a truncated response or an overloaded target leave it
 * reachable.
 *
 * <p>Invariants: requests are suspected only if the target was not leaving and then refused a connection; each loss is
 * reported back once, after the first check. A process that ends may accept connections for a moment longer, so a second
 * check follows. Confined to the event loop.
 */
final class CrashDetector {
    private static final long SECOND_CHECK_AFTER_MILLIS = 100;

    private final TargetConnections connections;
    private final RequestQuarantine quarantine;
    private final LongSupplier clock;
    private final Map<GatewayTarget, List<Loss>> lossesByTarget = new HashMap<>();
    private final List<SecondCheck> secondChecks = new ArrayList<>();

    CrashDetector(TargetConnections connections, RequestQuarantine quarantine, LongSupplier clock) {
        this.connections = connections;
        this.quarantine = quarantine;
        this.clock = clock;
    }

    /** Starts the second checks that are due. */
    void tick(long nowMillis) {
        for (Iterator<SecondCheck> each = secondChecks.iterator(); each.hasNext(); ) {
            SecondCheck due = each.next();
            if (nowMillis < due.atMillis()) {
                return;
            }
            each.remove();
            connections.check(due.target(), result -> recordCrash(due.target(), due.requests(), result));
        }
    }

    /** Checks a target at which the connection of a request has ended, and then runs an action. */
    void connectionLost(GatewayTarget target, InterruptedRequest request, Runnable onChecked) {
        if (target.isLeaving()) {
            onChecked.run();
            return;
        }
        check(target, new Loss(request, true, result -> onChecked.run()));
    }

    /**
     * Checks a target whose response has ended with its connection, also one that is leaving, and then runs an action with
     * how its port answered.
     */
    void responseEnded(GatewayTarget target, InterruptedRequest request, Consumer<ConnectResult> onChecked) {
        check(target, new Loss(request, false, onChecked));
    }

    private void check(GatewayTarget target, Loss loss) {
        List<Loss> checking = lossesByTarget.get(target);
        if (checking != null) {
            checking.add(loss);
            return;
        }
        List<Loss> losses = new ArrayList<>();
        losses.add(loss);
        lossesByTarget.put(target, losses);
        connections.check(target, result -> checked(target, result));
    }

    private void checked(GatewayTarget target, ConnectResult result) {
        List<Loss> losses = lossesByTarget.remove(target);
        boolean terminated = result == ConnectResult.REFUSED;
        List<InterruptedRequest> suspects = losses.stream()
                .filter(loss -> loss.truncated() || terminated && !target.isLeaving())
                .map(Loss::request)
                .toList();
        // Before the actions: other hosts must know of the crash before a caller can send the request again.
        recordCrash(target, suspects, result);
        if (!terminated && !suspects.isEmpty()) {
            secondChecks.add(new SecondCheck(target, suspects, clock.getAsLong() + SECOND_CHECK_AFTER_MILLIS));
        }
        losses.forEach(loss -> loss.onChecked().accept(result));
    }

    private void recordCrash(GatewayTarget target, List<InterruptedRequest> requests, ConnectResult result) {
        if (result == ConnectResult.REFUSED && !requests.isEmpty()) {
            quarantine.crashed(target.incarnationText(), requests);
        }
    }

    /**
     * A request whose connection has ended.
     *
     * @param request the request
     * @param truncated whether its response is known to be incomplete
     * @param onChecked receives how the port of the target answered
     */
    private record Loss(InterruptedRequest request, boolean truncated, Consumer<ConnectResult> onChecked) {}

    private record SecondCheck(GatewayTarget target, List<InterruptedRequest> requests, long atMillis) {}
}
