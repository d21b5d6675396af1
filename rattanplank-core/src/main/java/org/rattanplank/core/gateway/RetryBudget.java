package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * This host's share of the retries that a service's targets may get from all hosts together.
 *
 * <p>Invariant: in any window, the retries granted are at most {@link #RATIO_SAFETY_FACTOR} of the ratio times the
 * first attempts of that window, plus this host's share of the slack. As each host counts only its own first attempts,
 * the sum over all hosts keeps the bound as long as each of them knows at least four fifths of the others, or there are
 * no more hosts than the minimum that the slack is divided by. Confined to its owner's thread.
 */
public final class RetryBudget {
    /** Fraction of the ratio that is used, as the window of the bound and this host's don't start together. */
    static final double RATIO_SAFETY_FACTOR = 0.8;

    /** Factor for hosts that have just been added and are not known yet, up to a fifth of all. */
    static final double UNKNOWN_HOSTS_FACTOR = 1.25;

    private final double ratio;
    private final double slack;
    private final long windowMillis;
    private int hosts;
    private final Map<String, SlidingWindowCounter> firstAttempts = new HashMap<>();
    private final Map<String, SlidingWindowCounter> retries = new HashMap<>();

    private RetryBudget(double ratio, double slack, int hosts, long windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.hosts = hosts;
        this.windowMillis = windowMillis;
    }

    /**
     * Creates a budget.
     *
     * @param ratio the retries allowed for each first attempt
     * @param slack the retries allowed besides, for all hosts together
     * @param hosts the minimum number of hosts that the slack is divided by
     * @param windowMillis the window in which both are counted
     * @return the budget
     */
    public static RetryBudget of(double ratio, double slack, int hosts, long windowMillis) {
        return new RetryBudget(ratio * RATIO_SAFETY_FACTOR, slack, Math.max(1, hosts), windowMillis);
    }

    /**
     * Updates the number of hosts. If the slack were divided by fewer hosts than there are, a fault that fails
     * everything would let them retry more in total than the targets may get. The maximum ever known counts: a host
     * that is partitioned loses sight of others that retry all the same.
     *
     * @param knownHosts the number of known hosts, this one included
     */
    public void updateKnownHosts(int knownHosts) {
        hosts = Math.max(hosts, (int) Math.ceil(knownHosts * UNKNOWN_HOSTS_FACTOR));
    }

    /**
     * Records a request's first attempt.
     *
     * @param service the service that it goes to
     * @param nowMillis the time
     */
    public void recordFirstAttempt(String service, long nowMillis) {
        firstAttempts
                .computeIfAbsent(service, name -> new SlidingWindowCounter(windowMillis))
                .add(nowMillis);
    }

    /**
     * Returns how many retries remain.
     *
     * @param service the service
     * @param nowMillis the time
     * @return the retries that would be granted now
     */
    public int remaining(String service, long nowMillis) {
        int attempts = count(firstAttempts, service, nowMillis);
        return (int) (Math.floor(ratio * attempts + Math.floor(slack / hosts)) - count(retries, service, nowMillis));
    }

    /**
     * Takes a retry out of the budget if there is one.
     *
     * @param service the service
     * @param nowMillis the time
     * @return whether the request may be sent once more
     */
    public boolean trySpend(String service, long nowMillis) {
        // When a fault fails everything, each failed attempt would start another and overload the remaining targets;
        // symptom: arrivals grow while answers do not.
        if (remaining(service, nowMillis) < 1) {
            return false;
        }
        retries.computeIfAbsent(service, name -> new SlidingWindowCounter(windowMillis))
                .add(nowMillis);
        return true;
    }

    private static int count(Map<String, SlidingWindowCounter> counts, String service, long nowMillis) {
        SlidingWindowCounter count = counts.get(service);
        return count == null ? 0 : count.count(nowMillis);
    }
}
