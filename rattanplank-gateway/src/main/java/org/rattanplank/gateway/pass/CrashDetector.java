package org.rattanplank.gateway.pass;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.rattanplank.core.gateway.ConnectResult;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.TargetProcess;
import org.rattanplank.core.gateway.TargetProcess.EndedResponse;
import org.rattanplank.core.gateway.TerminationEvidence;
import org.rattanplank.gateway.target.TargetConnections;

/**
 * Finds out whether the process of a target has ended when a connection to it ended during a request or with its
 * response. An ended process refuses new connections, while a reset connection, a truncated response or an overloaded
 * target leave it reachable. A target that shuts down in order refuses connections, too, but goes on with its requests.
 *
 * <p>Invariants: requests are suspected only if the target was not leaving and then refused a connection, and those whose
 * response ended only if its process ended with it; each loss is reported back once, after the first check, and each
 * ended response once, after a check that begins {@link TargetProcess#TERMINATION_MILLIS} after its end. A process that
 * ends may accept connections for a moment longer, so a second check follows a loss. Confined to the event loop.
 */
final class CrashDetector {
    private final TargetConnections connections;
    private final RequestQuarantine quarantine;
    private final LongSupplier clock;
    private final Map<GatewayTarget, List<Loss>> lossesByTarget = new HashMap<>();
    private final List<SecondCheck> secondChecks = new ArrayList<>();

    /** In the order of their ends. */
    private final Deque<UndecidedResponse> undecidedResponses = new ArrayDeque<>();

    CrashDetector(TargetConnections connections, RequestQuarantine quarantine, LongSupplier clock) {
        this.connections = connections;
        this.quarantine = quarantine;
        this.clock = clock;
    }

    /** Starts the checks that are due. */
    void tick(long nowMillis) {
        startSecondChecks(nowMillis);
        decideResponses(nowMillis);
    }

    private void startSecondChecks(long nowMillis) {
        for (Iterator<SecondCheck> each = secondChecks.iterator(); each.hasNext(); ) {
            SecondCheck due = each.next();
            if (nowMillis < due.atMillis()) {
                return;
            }
            each.remove();
            connections.check(due.target(), result -> {
                if (result == ConnectResult.REFUSED) {
                    recordCrash(due.target(), due.requests());
                }
            });
        }
    }

    /** Checks a target at which the connection of a request has ended, and then runs an action. */
    void connectionLost(GatewayTarget target, InterruptedRequest request, Runnable onChecked) {
        if (target.isLeaving()) {
            onChecked.run();
            return;
        }
        List<Loss> checking = lossesByTarget.get(target);
        Loss loss = new Loss(request, onChecked);
        if (checking != null) {
            checking.add(loss);
            return;
        }
        List<Loss> losses = new ArrayList<>();
        losses.add(loss);
        lossesByTarget.put(target, losses);
        connections.check(target, result -> checked(target, result));
    }

    /**
     * Decides whether the process of a target, also of one that is leaving, ended with a response that has ended with its
     * connection, and then runs an action with what was found.
     */
    void responseEnded(GatewayTarget target, InterruptedRequest request, Consumer<TerminationEvidence> onDecided) {
        long now = clock.getAsLong();
        EndedResponse ended = target.process().responseEnded(now);
        undecidedResponses.add(new UndecidedResponse(target, request, ended, onDecided));
        if (!target.process().isPortCheckRecent(now)) {
            // Responses that end later need to know whether the port was closed already.
            connections.check(target, result -> {});
        }
    }

    private void decideResponses(long nowMillis) {
        Map<GatewayTarget, List<UndecidedResponse>> dueByTarget = new LinkedHashMap<>();
        while (!undecidedResponses.isEmpty() && undecidedResponses.peekFirst().isDue(nowMillis)) {
            UndecidedResponse due = undecidedResponses.removeFirst();
            dueByTarget
                    .computeIfAbsent(due.target(), target -> new ArrayList<>())
                    .add(due);
        }
        dueByTarget.forEach((target, due) -> connections.check(target, result -> decideOrRepeat(target, due, result)));
    }

    /** A check that isn't answered tells nothing, so it is repeated once. */
    private void decideOrRepeat(GatewayTarget target, List<UndecidedResponse> responses, ConnectResult result) {
        if (result == ConnectResult.TIMED_OUT) {
            connections.check(target, repeated -> decide(target, responses, repeated));
        } else {
            decide(target, responses, result);
        }
    }

    private void decide(GatewayTarget target, List<UndecidedResponse> responses, ConnectResult result) {
        List<TerminationEvidence> evidence = responses.stream()
                .map(each -> evidence(target, each.ended(), result))
                .toList();
        List<InterruptedRequest> suspects = new ArrayList<>();
        for (int i = 0; i < responses.size(); i++) {
            if (!target.isLeaving() && evidence.get(i).isTermination()) {
                suspects.add(responses.get(i).request());
            }
        }
        // Before the actions: other hosts must know of the crash before a caller can send the request again.
        recordCrash(target, suspects);
        for (int i = 0; i < responses.size(); i++) {
            responses.get(i).onDecided().accept(evidence.get(i));
        }
    }

    private TerminationEvidence evidence(GatewayTarget target, EndedResponse ended, ConnectResult result) {
        boolean idleConnectionOpen = connections.isIdleConnectionOpen(target, ended.endedAtMillis());
        return target.process().terminationEvidence(ended, result, idleConnectionOpen);
    }

    private void checked(GatewayTarget target, ConnectResult result) {
        List<Loss> losses = lossesByTarget.remove(target);
        List<InterruptedRequest> suspects = losses.stream().map(Loss::request).toList();
        if (result == ConnectResult.REFUSED) {
            // Before the actions: other hosts must know of the crash before a caller can send the request again.
            recordCrash(target, suspects);
        } else {
            secondChecks.add(new SecondCheck(target, suspects, clock.getAsLong() + TargetProcess.TERMINATION_MILLIS));
        }
        losses.forEach(loss -> loss.onChecked().run());
    }

    private void recordCrash(GatewayTarget target, List<InterruptedRequest> requests) {
        if (!requests.isEmpty()) {
            quarantine.crashed(target.incarnationText(), requests);
        }
    }

    /**
     * A request whose connection has ended before its response was complete.
     *
     * @param request the request
     * @param onChecked runs after the first check
     */
    private record Loss(InterruptedRequest request, Runnable onChecked) {}

    /**
     * A response that has ended with its connection, and may be whole.
     *
     * @param target its target
     * @param request its request
     * @param ended its end
     * @param onDecided receives what is known of the target's process
     */
    private record UndecidedResponse(
            GatewayTarget target,
            InterruptedRequest request,
            EndedResponse ended,
            Consumer<TerminationEvidence> onDecided) {
        private boolean isDue(long nowMillis) {
            return nowMillis >= ended.endedAtMillis() + TargetProcess.TERMINATION_MILLIS;
        }
    }

    private record SecondCheck(GatewayTarget target, List<InterruptedRequest> requests, long atMillis) {}
}
