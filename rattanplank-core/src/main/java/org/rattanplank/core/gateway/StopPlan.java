package org.rattanplank.core.gateway;

import io.vavr.control.Option;

/**
 * What a host that was told to stop still takes, and when it ends.
 *
 * <p>Hosts of a region are often stopped one after the other, faster than each is back, since a stop lasts as long as the
 * streams that are open. If each only saw to its own end, engines that may be used would have no host that reaches them,
 * and callers would be refused, or sent to regions where their data must not go, for seconds. So of the hosts of a region
 * that stop, the one that can go on longest takes what surely ends in its time, until another host there takes callers.
 * Invariants: with another host that takes work, a stop takes as long as its own requests; late in its time nothing begins
 * that wouldn't surely end before everything is cut. Immutable and thread safe.
 */
public final class StopPlan {
    /**
     * Connections that carry nothing are ended no sooner: callers that hold an older list still come, nearly all of them
     * for one of the list's lifetimes at most. Longer stops would overlap when hosts are stopped in turn, and leave few
     * that serve.
     */
    static final long MIN_SERVE_MILLIS = 1_700;

    /**
     * Whatever comes later must surely end in time: a stream that begins so late may be cut in the middle. Callers that
     * hold the longest-lived list have moved by then.
     */
    static final long ACCEPT_ALL_MILLIS = 2_800;

    /** What is left of the time for stopping when everything is cut: for the last answers to leave. */
    static final long CLOSE_MARGIN_MILLIS = 700;

    /** A request that comes late takes less than so many times as long as the longest of late. */
    private static final double DURATION_SAFETY_FACTOR = 1.5;

    private final long graceMillis;

    private StopPlan(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    /**
     * Makes the plan of a stop.
     *
     * @param graceMillis how long the stop may take
     * @return the plan
     */
    public static StopPlan within(long graceMillis) {
        return new StopPlan(graceMillis);
    }

    /**
     * Tells how much longer other hosts and callers should send work to this host.
     *
     * @param stoppingMillis the time since it was told to stop
     * @param others what the other hosts of its region do
     * @return milliseconds, zero if they should send none
     */
    public long workMillis(long stoppingMillis, OtherHosts others) {
        return Math.max(0, others.acceptUntilMillis(cutMillis()) - stoppingMillis);
    }

    /**
     * Tells whether a request may begin.
     *
     * @param stoppingMillis the time since the host was told to stop
     * @param others what the other hosts of its region do
     * @param longestMillis the longest time that requests of its kind took of late, if any have ended
     * @return whether it may
     */
    public boolean mayBegin(long stoppingMillis, OtherHosts others, Option<Long> longestMillis) {
        long leftMillis = cutMillis() - stoppingMillis;
        if (stoppingMillis < ACCEPT_ALL_MILLIS) {
            return longestMillis.forAll(longest -> longest <= leftMillis);
        }
        return workMillis(stoppingMillis, others) > 0 && longestMillis.exists(longest -> DURATION_SAFETY_FACTOR * longest <= leftMillis);
    }

    /**
     * Tells whether connections that carry nothing may be ended, and no new ones be taken.
     *
     * @param stoppingMillis the time since the host was told to stop
     * @param others what the other hosts of its region do
     * @param hasWork whether a request is under way
     * @return whether the host begins to end
     */
    public boolean mayEnd(long stoppingMillis, OtherHosts others, boolean hasWork) {
        if (workMillis(stoppingMillis, others) > 0) {
            return false;
        }
        return stoppingMillis >= ACCEPT_ALL_MILLIS || stoppingMillis >= MIN_SERVE_MILLIS && !hasWork;
    }

    /**
     * When everything that is still under way is cut.
     *
     * @return milliseconds since the word to stop
     */
    public long cutMillis() {
        return graceMillis - CLOSE_MARGIN_MILLIS;
    }
}
