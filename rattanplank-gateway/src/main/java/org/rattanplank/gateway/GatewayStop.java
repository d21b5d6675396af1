package org.rattanplank.gateway;

import java.util.function.LongConsumer;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.PeerAvailability;
import org.rattanplank.core.gateway.RequestDuration;
import org.rattanplank.core.gateway.ShutdownPlan;
import org.rattanplank.gateway.caller.CallerServer;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.pass.RequestAdmission;
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
final class GatewayStop implements RequestAdmission {
    /** The time at the end of the grace period that is reserved for the process to terminate. */
    private static final long TERMINATION_MARGIN_MILLIS = 300;

    /** The part of that time in which the virtual machine ends. */
    private static final long EXIT_MILLIS = 100;

    private final GatewayState state;
    private final CallerServer callers;
    private final PeerLinks links;
    private final ActiveRequests requests;
    private final long graceMillis;
    private final ShutdownPlan plan;
    private final LongConsumer onEnded;
    private final long requestedAtMillis;
    private boolean portsClosed;
    private boolean aborted;
    private int abortedRequests;
    private boolean finished;

    /**
     * Starts a stop.
     *
     * @param state the state that all requests share
     * @param callers the connections of callers
     * @param links the links to other hosts
     * @param requests the requests in progress
     * @param graceMillis the grace period of the stop
     * @param requestedAtMillis when the stop was requested, which the grace period is measured from
     * @param onEnded run once when the process may terminate, with how long it may still take
     */
    GatewayStop(
            GatewayState state,
            CallerServer callers,
            PeerLinks links,
            ActiveRequests requests,
            long graceMillis,
            long requestedAtMillis,
            LongConsumer onEnded) {
        this.state = state;
        this.callers = callers;
        this.links = links;
        this.requests = requests;
        this.graceMillis = graceMillis;
        plan = ShutdownPlan.within(graceMillis);
        this.onEnded = onEnded;
        this.requestedAtMillis = requestedAtMillis;
        state.restrict(this);
    }

    /** Returns how much longer requests should be sent to this host while it stops. */
    long acceptMillis() {
        return portsClosed ? 0 : plan.acceptMillis(elapsedMillis(), otherHosts());
    }

    @Override
    public boolean mayStart(RequestDuration duration) {
        return !aborted && plan.mayAccept(elapsedMillis(), otherHosts(), duration);
    }

    @Override
    public boolean mayInterrupt(RequestDuration duration) {
        return plan.mayInterrupt(elapsedMillis(), duration);
    }

    @Override
    public Option<Long> stoppingMillis() {
        return Option.some(elapsedMillis());
    }

    @Override
    public long unavailableMillis() {
        return isAnyPeerAccepting() ? 0 : plan.unavailableMillis(elapsedMillis());
    }

    private boolean isAnyPeerAccepting() {
        return links.aliveLinks().stream()
                .anyMatch(link -> link.isInOwnRegion() && link.state().acceptsCallers());
    }

    /** Returns whether a request whose duration is not known may begin. */
    private boolean acceptsRequests() {
        return mayStart(RequestDuration.UNKNOWN);
    }

    private long elapsedMillis() {
        return state.nowMillis() - requestedAtMillis;
    }

    private PeerAvailability otherHosts() {
        long maxPeerAcceptMillis = 0;
        for (PeerLink link : links.aliveLinks()) {
            if (link.isInOwnRegion()) {
                maxPeerAcceptMillis =
                        Math.max(maxPeerAcceptMillis, link.state().acceptMillis() - link.stateAgeMillis());
            }
        }
        long ownMillis = plan.acceptMillis(elapsedMillis(), PeerAvailability.UNAVAILABLE);
        return PeerAvailability.of(
                links.knowsOthersInOwnRegion(), isAnyPeerAccepting(), maxPeerAcceptMillis, ownMillis);
    }

    /** Advances the stop; called periodically until the process terminates. */
    void tick() {
        if (finished) {
            return;
        }
        long stoppingMillis = elapsedMillis();
        if (portsClosed || plan.mayClose(stoppingMillis, otherHosts(), !requests.isEmpty())) {
            closeIdle();
        }
        if (stoppingMillis >= plan.closeMillis() && !aborted) {
            aborted = true;
            closeIdle();
            abortedRequests = requests.abortAll();
        }
        boolean complete = portsClosed
                && callers.isListenerClosed()
                && callers.connections() == 0
                && requests.isEmpty()
                && links.areClosed();
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
        if (callers.acceptsNoRequests() && requests.isEmpty()) {
            links.closeGracefully(this::mustStayOpen);
        }
    }

    /**
     * Returns whether a link has work. A call that has arrived in part is awaited only while it would still be accepted:
     * later, the other host is told at once that it was not.
     */
    private boolean mustStayOpen(PeerLink link) {
        return !requests.isEmpty() || acceptsRequests() && link.isReceivingCall();
    }

    private void finish() {
        finished = true;
        state.log()
                .writeImportant(LogLine.of(LogEvent.STOPPED)
                        .with("tookMillis", elapsedMillis())
                        .with("connections", callers.connections())
                        .with("foundWaiting", callers.requestsFoundPending())
                        .with("cut", aborted)
                        .with("abortedRequests", abortedRequests));
        onEnded.accept(Math.max(EXIT_MILLIS, graceMillis - EXIT_MILLIS - elapsedMillis()));
    }

    /** The requests of callers and other hosts that are in progress. */
    interface ActiveRequests {
        /** Returns whether there are none. */
        boolean isEmpty();

        /** Aborts all of them, and returns their number. */
        int abortAll();
    }
}
