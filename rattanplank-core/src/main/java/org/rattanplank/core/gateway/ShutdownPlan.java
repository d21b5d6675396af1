package org.rattanplank.core.gateway;

/**
 * Decides which requests a host that is shutting down still accepts, and when it closes its connections.
 *
 * <p>Hosts of a region are often stopped one after the other, faster than each is back, as a shutdown lasts as long as
 * its open streams. If each considered only its own shutdown, usable engines would be reached by no host, and callers
 * would be rejected, or sent to regions where their data must not go, for seconds. So of the hosts of a region that are
 * shutting down, the one that can go on longest accepts requests that end within its time, until another host there
 * accepts callers. Invariants: while another host accepts requests, a shutdown takes as long as the host's own
 * requests; late in a shutdown no request begins whose deadline is after its connection is closed, unless it may be
 * interrupted. Immutable and thread safe.
 */
public final class ShutdownPlan {
    /**
     * Time before which idle connections are not closed: callers with an outdated list of hosts still connect, nearly
     * all of them within one lifetime of the list. With a longer time the shutdowns of hosts that are stopped in turn
     * would overlap and leave few hosts that serve.
     */
    static final long MIN_SERVE_MILLIS = 1_700;

    /**
     * Time after which a request must be certain to end before the close. Callers with the longest-lived list have
     * moved by then.
     */
    static final long ACCEPT_ALL_MILLIS = 2_800;

    /** Remaining shutdown time when all connections are closed, in which the last answers are sent. */
    static final long CLOSE_MARGIN_MILLIS = 700;

    /** The time that a host is expected to take from the end of its process until it accepts callers again. */
    static final long RESTART_MILLIS = 1_500;

    private final long graceMillis;

    private ShutdownPlan(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    /**
     * Creates the plan of a shutdown.
     *
     * @param graceMillis how long the shutdown may take
     * @return the plan
     */
    public static ShutdownPlan within(long graceMillis) {
        return new ShutdownPlan(graceMillis);
    }

    /**
     * Returns how much longer other hosts and callers should send requests to this host.
     *
     * @param stoppingMillis the time since the shutdown began
     * @param peers the availability of the other hosts of its region
     * @return milliseconds, zero if they should send none
     */
    public long acceptMillis(long stoppingMillis, PeerAvailability peers) {
        return Math.max(0, peers.acceptUntilMillis(closeMillis()) - stoppingMillis);
    }

    /**
     * Returns whether a request may begin.
     *
     * @param stoppingMillis the time since the shutdown began
     * @param peers the availability of the other hosts of its region
     * @param duration how long it may take
     * @return whether it may
     */
    public boolean mayAccept(long stoppingMillis, PeerAvailability peers, RequestDuration duration) {
        long remainingMillis = closeMillis() - stoppingMillis;
        if (stoppingMillis < ACCEPT_ALL_MILLIS) {
            return duration.mayEndWithin(remainingMillis);
        }
        return acceptMillis(stoppingMillis, peers) > 0 && duration.isSafeWithin(remainingMillis);
    }

    /**
     * Returns whether a request that was accepted may have to be interrupted at the close.
     *
     * @param stoppingMillis the time since the shutdown began
     * @param duration how long it may take
     * @return whether it was accepted by an estimate
     */
    public boolean mayInterrupt(long stoppingMillis, RequestDuration duration) {
        return stoppingMillis >= ACCEPT_ALL_MILLIS && !duration.endsWithin(closeMillis() - stoppingMillis);
    }

    /**
     * Returns whether idle connections may be closed and new ones rejected.
     *
     * @param stoppingMillis the time since the shutdown began
     * @param peers the availability of the other hosts of its region
     * @param hasWork whether a request is in flight
     * @return whether the host may begin to close connections
     */
    public boolean mayClose(long stoppingMillis, PeerAvailability peers, boolean hasWork) {
        if (acceptMillis(stoppingMillis, peers) > 0) {
            return false;
        }
        return stoppingMillis >= ACCEPT_ALL_MILLIS || stoppingMillis >= MIN_SERVE_MILLIS && !hasWork;
    }

    /**
     * Returns when this host is expected to accept callers again.
     *
     * @param stoppingMillis the time since the shutdown began
     * @return milliseconds from now
     */
    public long unavailableMillis(long stoppingMillis) {
        return Math.max(0, closeMillis() - stoppingMillis) + RESTART_MILLIS;
    }

    /**
     * Returns when all remaining connections are closed.
     *
     * @return milliseconds since the shutdown began
     */
    public long closeMillis() {
        return graceMillis - CLOSE_MARGIN_MILLIS;
    }
}
