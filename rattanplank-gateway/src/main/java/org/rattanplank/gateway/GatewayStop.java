package org.rattanplank.gateway;

import java.util.function.BooleanSupplier;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.OtherHosts;
import org.rattanplank.core.gateway.StopPlan;
import org.rattanplank.gateway.caller.CallerServer;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.PeerLinks;

/**
 * The steps by which a process ends after it was told to.
 *
 * <p>Invariants: callers and other hosts are answered until their connections have ended; a connection ends only after a
 * read that found nothing on it, so whatever reached this host before has its answer. The time for stopping is never
 * passed. Confined to the event loop.
 */
final class GatewayStop {
    /** What is left of the time for stopping for the process to end in. */
    private static final long END_MARGIN_MILLIS = 300;

    private final GatewayState state;
    private final CallerServer callers;
    private final PeerLinks links;
    private final BooleanSupplier hasWork;
    private final Runnable cut;
    private final long graceMillis;
    private final StopPlan plan;
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
        plan = StopPlan.within(graceMillis);
        this.ended = ended;
        askedAtMillis = state.nowMillis();
        state.limitBegins(this::mayBegin);
    }

    /** How much longer work should be sent here though this host is about to end. */
    long workMillis() {
        return portsClosed ? 0 : plan.workMillis(stoppingMillis(), others());
    }

    private boolean mayBegin(Option<Long> longestMillis) {
        return !isCut && plan.mayBegin(stoppingMillis(), others(), longestMillis);
    }

    private long stoppingMillis() {
        return state.nowMillis() - askedAtMillis;
    }

    private OtherHosts others() {
        boolean oneTakesCallers = false;
        long longestMillis = 0;
        for (PeerLink link : links.alive()) {
            if (link.isOwnRegion()) {
                oneTakesCallers |= link.state().takesCallers();
                longestMillis = Math.max(longestMillis, link.state().workMillis() - link.stateAgeMillis());
            }
        }
        long ownMillis = plan.workMillis(stoppingMillis(), OtherHosts.AWAY);
        return OtherHosts.of(links.knowsOthersInOwnRegion(), oneTakesCallers, longestMillis, ownMillis);
    }

    /** Goes on. Called again and again until the process ends. */
    void tick() {
        if (over) {
            return;
        }
        long stoppingMillis = stoppingMillis();
        if (portsClosed || plan.mayEnd(stoppingMillis, others(), hasWork.getAsBoolean())) {
            endIdle();
        }
        if (stoppingMillis >= plan.cutMillis() && !isCut) {
            isCut = true;
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
                        .with("tookMillis", stoppingMillis())
                        .with("connections", callers.connections())
                        .with("foundWaiting", callers.requestsFoundWaiting())
                        .with("cut", isCut));
        ended.run();
    }
}
