package org.rattanplank.gateway;

import java.util.function.BooleanSupplier;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.PeerAvailability;
import org.rattanplank.core.gateway.ShutdownPlan;
import org.rattanplank.gateway.caller.CallerServer;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.PeerLinks;

/**
 * The planned stop of a process.
 *
 * <p>Invariants: callers and other hosts get responses until their connections have closed; a connection is closed only
 * after a read that found no data on it, so every request that reached this host before has a response, and a request
 * that has arrived in part is awaited while it would be accepted, and then rejected. The grace period is never exceeded.
 * Confined to the event loop.
 */
final class GatewayStop {
    /** The time at the end of the grace period that is reserved for the process to terminate. */
    private static final long TERMINATION_MARGIN_MILLIS = 300;

    private final GatewayState state;
    private final CallerServer callers;
    private final PeerLinks links;
    private final BooleanSupplier hasRequests;
    private final Runnable abortRequests;
    private final long graceMillis;
    private final ShutdownPlan plan;
    private final Runnable onEnded;
    private final long requestedAtMillis;
    private boolean portsClosed;
    private boolean aborted;
    private boolean finished;

    /**
     * Starts a stop.
     *
     * @param state the state that all requests share
     * @param callers the connections of callers
     * @param links the links to other hosts
     * @param hasRequests returns whether a request of a caller or another host is in progress
     * @param abortRequests aborts all requests in progress
     * @param graceMillis the grace period of the stop
     * @param onEnded run once when the process may terminate
     */
    GatewayStop(
            GatewayState state,
            CallerServer callers,
            PeerLinks links,
            BooleanSupplier hasRequests,
            Runnable abortRequests,
            long graceMillis,
            Runnable onEnded) {
        this.state = state;
        this.callers = callers;
        this.links = links;
        this.hasRequests = hasRequests;
        this.abortRequests = abortRequests;
        this.graceMillis = graceMillis;
        plan = ShutdownPlan.within(graceMillis);
        this.onEnded = onEnded;
        requestedAtMillis = state.nowMillis();
        state.limitStarts(this::mayAccept);
    }

    /** Returns how much longer requests should be sent to this host while it stops. */
    long acceptMillis() {
        return portsClosed ? 0 : plan.acceptMillis(stoppingMillis(), otherHosts());
    }

    private boolean mayAccept(Option<Long> maxDurationMillis) {
        return !aborted && plan.mayAccept(stoppingMillis(), otherHosts(), maxDurationMillis);
    }

    /** Returns whether a request whose duration is not known may begin. */
    private boolean acceptsRequests() {
        return mayAccept(Option.none());
    }

    private long stoppingMillis() {
        return state.nowMillis() - requestedAtMillis;
    }

    private PeerAvailability otherHosts() {
        boolean anyAcceptsCallers = false;
        long maxPeerAcceptMillis = 0;
        for (PeerLink link : links.aliveLinks()) {
            if (link.isInOwnRegion()) {
                anyAcceptsCallers |= link.state().acceptsCallers();
                maxPeerAcceptMillis =
                        Math.max(maxPeerAcceptMillis, link.state().acceptMillis() - link.stateAgeMillis());
            }
        }
        long ownMillis = plan.acceptMillis(stoppingMillis(), PeerAvailability.UNAVAILABLE);
        return PeerAvailability.of(links.knowsOthersInOwnRegion(), anyAcceptsCallers, maxPeerAcceptMillis, ownMillis);
    }

    /** Advances the stop; called periodically until the process terminates. */
    void tick() {
        if (finished) {
            return;
        }
        long stoppingMillis = stoppingMillis();
        if (portsClosed || plan.mayClose(stoppingMillis, otherHosts(), hasRequests.getAsBoolean())) {
            closeIdle();
        }
        if (stoppingMillis >= plan.closeMillis() && !aborted) {
            aborted = true;
            closeIdle();
            abortRequests.run();
        }
        boolean complete =
                portsClosed && callers.connections() == 0 && !hasRequests.getAsBoolean() && links.areClosed();
        if (complete || stoppingMillis >= graceMillis - TERMINATION_MARGIN_MILLIS) {
            finish();
        }
    }

    private void closeIdle() {
        if (!portsClosed) {
            portsClosed = true;
            callers.closeListener();
            links.stopListening();
        }
        callers.closeIdleConnections();
        if (!acceptsRequests()) {
            callers.rejectIncompleteRequests();
        }
        if (callers.allHalfClosed() && !hasRequests.getAsBoolean()) {
            links.closeGracefully(this::mustStayOpen);
        }
    }

    /**
     * Returns whether a link has work. A call that has arrived in part is awaited only while it would still be accepted:
     * later, the other host is told at once that it was not.
     */
    private boolean mustStayOpen(PeerLink link) {
        return hasRequests.getAsBoolean() || acceptsRequests() && link.isReceivingCall();
    }

    private void finish() {
        finished = true;
        state.log()
                .writeImportant(LogLine.of(LogEvent.STOPPED)
                        .with("tookMillis", stoppingMillis())
                        .with("connections", callers.connections())
                        .with("foundWaiting", callers.requestsFoundPending())
                        .with("cut", aborted));
        onEnded.run();
    }
}
