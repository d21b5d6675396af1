package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * This host's part of the repeats that a service's targets may get from all hosts together.
 *
 * <p>Invariant: in any window, the repeats granted are at most {@link #RATIO_SAFETY_FACTOR} of the ratio times the first sends
 * of that window, plus this host's part of the slack. As each host counts its own first sends alone, the sum over all
 * hosts keeps the bound as long as none of them knows of fewer than four fifths of the others, or there are no more than
 * the least number that the slack is shared by. Confined to its owner's thread.
 */
public final class RepeatAllowance {
    /** What is kept back of the ratio, as the window of the bound and ours don't start together. */
    static final double RATIO_SAFETY_FACTOR = 0.8;

    /** Hosts that have just been added are not known yet; a fifth of all may be so. */
    static final double UNKNOWN_HOSTS_FACTOR = 1.25;

    private final double ratio;
    private final double slack;
    private final long windowMillis;
    private int hosts;
    private final Map<String, SlidingWindowCounter> firstAttempts = new HashMap<>();
    private final Map<String, SlidingWindowCounter> retries = new HashMap<>();

    private RepeatAllowance(double ratio, double slack, int hosts, long windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.hosts = hosts;
        this.windowMillis = windowMillis;
    }

    /**
     * Makes an allowance.
     *
     * @param ratio the repeats allowed for each first send
     * @param slack the repeats allowed besides, for all hosts together
     * @param hosts the least number of parts that the slack is cut into
     * @param windowMillis the window in which both are counted
     * @return the allowance
     */
    public static RepeatAllowance of(double ratio, double slack, int hosts, long windowMillis) {
        return new RepeatAllowance(ratio * RATIO_SAFETY_FACTOR, slack, Math.max(1, hosts), windowMillis);
    }

    /**
     * Takes note of how many hosts there are. Were the slack cut into parts for fewer hosts than there are, a fault that
     * fails everything would let all of them together repeat more than the targets may get. The most that was ever known
     * counts: a host that is cut off loses sight of others that repeat all the same.
     *
     * @param known the hosts that are known, this one included
     */
    public void hostsKnown(int known) {
        hosts = Math.max(hosts, (int) Math.ceil(known * UNKNOWN_HOSTS_FACTOR));
    }

    /**
     * Takes note of a request's first send.
     *
     * @param service the service that it goes to
     * @param nowMillis the time
     */
    public void first(String service, long nowMillis) {
        firstAttempts.computeIfAbsent(service, name -> new SlidingWindowCounter(windowMillis)).add(nowMillis);
    }

    /**
     * Tells how many repeats are left.
     *
     * @param service the service
     * @param nowMillis the time
     * @return the repeats that would be granted now
     */
    public int left(String service, long nowMillis) {
        int seen = count(firstAttempts, service, nowMillis);
        return (int) (Math.floor(ratio * seen + Math.floor(slack / hosts)) - count(retries, service, nowMillis));
    }

    /**
     * Takes a repeat out of the allowance if there is one.
     *
     * @param service the service
     * @param nowMillis the time
     * @return whether the request may be sent once more
     */
    public boolean spend(String service, long nowMillis) {
        // When a fault fails everything, each failed attempt would start another and the targets that are left would
        // drown in them; one would notice arrivals grow while answers do not.
        if (left(service, nowMillis) < 1) {
            return false;
        }
        retries.computeIfAbsent(service, name -> new SlidingWindowCounter(windowMillis)).add(nowMillis);
        return true;
    }

    private static int count(Map<String, SlidingWindowCounter> counts, String service, long nowMillis) {
        SlidingWindowCounter count = counts.get(service);
        return count == null ? 0 : count.count(nowMillis);
    }
}
