package org.rattanplank.core.route;

import org.rattanplank.core.request.Request;

/**
 * How long requests of one service run, learned from those that ended.
 *
 * <p>Invariant: every estimate is above zero. Confined to the router's lock.
 */
final class WorkEstimate {
    /** How many times faster an engine reads a prompt than it generates, for one request. */
    static final double PREFILL_SPEEDUP = 50;

    private static final double SMOOTHING = 0.05;
    private static final double FIRST_RUN_MILLIS = 500;
    private static final double FIRST_OUTPUT_PART = 0.5;
    private static final double LOWEST_OUTPUT_PART = 0.02;
    private static final double HIGHEST_OUTPUT_PART = 2;

    private static final double HIGHEST_RATIO = 10;
    private static final double LOWEST_RATIO = 0.1;

    private double meanRunMillis = FIRST_RUN_MILLIS;
    private double outputPart = FIRST_OUTPUT_PART;
    private double slowness = 1;
    private boolean learned;

    /** Whether any request has ended, so that expectations mean something. */
    boolean isLearned() {
        return learned;
    }

    double meanRunMillis() {
        return meanRunMillis;
    }

    /** The time to read tokens that are not cached. */
    static double prefillMillis(double tokens, double tokensPerSecond) {
        return tokensPerSecond > 0 ? 1_000 * tokens / (tokensPerSecond * PREFILL_SPEEDUP) : 0;
    }

    /** The time that a request runs after its prompt was read; next to nothing before any was learned. */
    double outputMillis(Request request, double tokensPerSecond) {
        if (!learned) {
            return 1;
        }
        if (tokensPerSecond <= 0) {
            return meanRunMillis;
        }
        return Math.max(1, 1_000 * request.maxTokens() * outputPart / tokensPerSecond);
    }

    /**
     * Learns from a request that ended well.
     *
     * <p>The wait of one that had to queue is not known: engines let urgent work pass it. Taking its whole time less an
     * estimated wait as its run would feed a wrong estimate of the wait back into itself; one would notice estimates
     * growing under overload without bound. So a request that queued only ever lowers the estimate.
     *
     * @param tookMillis the time taken
     * @param queued whether the request had to wait
     * @param prefillMillis the reading time that had been expected
     * @param tokensPerSecond the target's generation rate
     * @param maxTokens the largest number of tokens to generate
     */
    void learn(double tookMillis, boolean queued, double prefillMillis, double tokensPerSecond, int maxTokens) {
        if (learned && queued && tookMillis >= meanRunMillis) {
            return;
        }
        meanRunMillis = learned ? meanRunMillis + SMOOTHING * (tookMillis - meanRunMillis) : Math.max(1, tookMillis);
        learned = true;
        if (!queued && tokensPerSecond > 0 && maxTokens > 0) {
            double part = Math.max(0, tookMillis - prefillMillis) * tokensPerSecond / (1_000.0 * maxTokens);
            double bounded = Math.max(LOWEST_OUTPUT_PART, Math.min(HIGHEST_OUTPUT_PART, part));
            outputPart += SMOOTHING * (bounded - outputPart);
        }
    }

    /**
     * Compares a time taken to the one expected, relative to the service's own mean of that ratio. One answer counts for
     * so little that a single slow one cannot make a target look slow.
     */
    double relativeSlowness(double tookMillis, double expectedMillis) {
        double ratio = Math.min(HIGHEST_RATIO, tookMillis / Math.max(1, expectedMillis));
        double relative = Math.min(HIGHEST_RATIO, ratio / Math.max(LOWEST_RATIO, slowness));
        slowness += SMOOTHING * (ratio - slowness);
        return relative;
    }
}
