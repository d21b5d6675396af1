package org.rattanplank.gateway;

import java.util.function.BooleanSupplier;

import org.rattanplank.gateway.caller.CallerServer;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.peer.PeerLinks;

/**
 * The steps by which a process ends after it was told to.
 *
 * <p>Invariants: callers and other hosts are answered until their connections have ended; a connection ends only after a
 * read that found nothing on it, so whatever reached this host before has its answer. The time for stopping is never
 * passed. Confined to the event loop.
 */
final class GatewayStop {
    /**
     * Connections that carry nothing are ended no sooner: callers that hold an older list still come, nearly all of them
     * for one of the list's lifetimes at most. Longer stops would overlap when hosts are stopped in turn, and leave few
     * that serve.
     */
    private static final long SERVE_LEAST_MILLIS = 1_700;

    /**
     * Requests that come later after the word to stop are refused: what begins so late may not end in the time left, and
     * would be cut in the middle. Callers that hold the longest-lived list have moved by then.
     */
    private static final long TAKE_MILLIS = 2_800;

    /** What is left of the time for stopping when everything is cut: for the last answers to leave. */
    private static final long CUT_MARGIN_MILLIS = 700;

    /** What is left of the time for stopping for the process to end in. */
    private static final long END_MARGIN_MILLIS = 300;

    private final GatewayState state;
    private final CallerServer callers;
    private final PeerLinks links;
    private final BooleanSupplier hasWork;
    private final Runnable cut;
    private final long graceMillis;
    private final Runnable ended;
    private final long askedAtMillis;
    private boolean portsClosed;
    private boolean isCut;
    private boolean over;

    /**
     * Begins a stop.
     *
     * @param state what all requests share
     * @param callers the callers' connections
     * @param links the links to other hosts
     * @param hasWork whether a request of a caller or another host is under way
     * @param cut ends all that is under way
     * @param graceMillis how long a stop may take
     * @param ended run once when the process may end
     */
    GatewayStop(
            GatewayState state,
            CallerServer callers,
            PeerLinks links,
            BooleanSupplier hasWork,
            Runnable cut,
            long graceMillis,
            Runnable ended) {
        this.state = state;
        this.callers = callers;
        this.links = links;
        this.hasWork = hasWork;
        this.cut = cut;
        this.graceMillis = graceMillis;
        this.ended = ended;
        askedAtMillis = state.nowMillis();
    }

    /** Goes on. Called again and again until the process ends. */
    void tick() {
        if (over) {
            return;
        }
        long stoppingMillis = state.nowMillis() - askedAtMillis;
        if (stoppingMillis >= TAKE_MILLIS) {
            state.takeNoMore();
        }
        if (stoppingMillis >= TAKE_MILLIS || stoppingMillis >= SERVE_LEAST_MILLIS && !hasWork.getAsBoolean()) {
            endIdle();
        }
        if (stoppingMillis >= graceMillis - CUT_MARGIN_MILLIS && !isCut) {
            isCut = true;
            state.takeNoMore();
            endIdle();
            cut.run();
        }
        boolean done = portsClosed && callers.connections() == 0 && !hasWork.getAsBoolean() && links.areEnded();
        if (done || stoppingMillis >= graceMillis - END_MARGIN_MILLIS) {
            end();
        }
    }

    private void endIdle() {
        if (!portsClosed) {
            portsClosed = true;
            callers.closePort();
            links.closePort();
        }
        callers.endIdle();
        if (callers.haveEnded() && !hasWork.getAsBoolean()) {
            links.end(hasWork);
        }
    }

    private void end() {
        over = true;
        state.log()
                .important(LogLine.of(LogEvent.STOPPED)
                        .with("tookMillis", state.nowMillis() - askedAtMillis)
                        .with("connections", callers.connections())
                        .with("foundWaiting", callers.requestsFoundWaiting())
                        .with("cut", isCut));
        ended.run();
    }
}
