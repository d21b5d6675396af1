package org.rattanplank.core.gateway;

/**
 * Decides whether a request is accepted or rejected at once, so that others are served in time.
 *
 * <p>It guards against lasting overload, in which requests arrive faster than engines prefill. Every accepted request
 * then waits, and a queue in which each waits longer than the latency objective serves as many as a short one, but all
 * of them late. So a request that is expected to be late is rejected while it would also have to wait; its caller may
 * retry.
 *
 * <p>Invariant: a request that would not wait and takes nothing from lagging streams is accepted, however long its own
 * prompt is. Stateless and thread safe.
 */
public final class Admission {
    /**
     * Fraction of the objective that a request may wait even if its own prefill takes the rest or more: a large prompt
     * that is rejected for any wait at all would hardly ever be served.
     */
    static final double MIN_ALLOWED_WAIT_FRACTION = 0.25;

    private Admission() {}

    /**
     * Returns whether a request should be rejected because it would be late.
     *
     * @param queueWaitMillis the time that it is expected to wait at the best candidate before its prefill
     * @param expectedMillis the time to its first event that is expected there
     * @param objectiveMillis the latency objective for its first event
     * @param urgency its urgency; less urgent requests are rejected first
     * @return whether it would be late because of other requests
     */
    public static boolean shouldReject(
            double queueWaitMillis, double expectedMillis, long objectiveMillis, Urgency urgency) {
        double ownMillis = expectedMillis - queueWaitMillis;
        double allowedMillis = Math.max(
                urgency.tolerance() * objectiveMillis - ownMillis, MIN_ALLOWED_WAIT_FRACTION * objectiveMillis);
        return queueWaitMillis > allowedMillis && queueWaitMillis < Double.POSITIVE_INFINITY;
    }

    /**
     * Returns whether a request should be rejected for the time that it takes from lagging streams. Its own prefill is
     * left out, so that large prompts are rejected as often as small ones.
     *
     * @param queueWaitMillis the time that it is expected to wait at the best candidate before its prefill
     * @param delayCostMillis the time that its prefill takes from lagging streams there
     * @param objectiveMillis the latency objective for its first event
     * @param urgency its urgency; less urgent requests are rejected first
     * @return whether it would make others late
     */
    static boolean delaysTooMuch(
            double queueWaitMillis, double delayCostMillis, long objectiveMillis, Urgency urgency) {
        return delayCostMillis > 0
                && queueWaitMillis + delayCostMillis > urgency.tolerance() * objectiveMillis
                && queueWaitMillis < Double.POSITIVE_INFINITY;
    }
}
