package org.rattanplank.core.route;

import org.rattanplank.core.request.Request;

/**
 * Estimates the run time of one service's requests from completed requests.
 *
 * <p>Invariant: every estimate is above zero. Guarded by the router's lock.
 */
final class WorkEstimate {
    /** Ratio of an engine's prefill rate to its decode rate for one request. */
    static final double PREFILL_SPEEDUP = 50;

    private static final double SMOOTHING_FACTOR = 0.05;
    private static final double INITIAL_RUN_MILLIS = 500;
    private static final double INITIAL_OUTPUT_FRACTION = 0.5;
    private static final double MIN_OUTPUT_FRACTION = 0.02;
    private static final double MAX_OUTPUT_FRACTION = 2;

    private static final double MAX_RATIO = 10;
    private static final double MIN_RATIO = 0.1;

    private double meanRunMillis = INITIAL_RUN_MILLIS;
    private double outputFraction = INITIAL_OUTPUT_FRACTION;
    private double meanSlowness = 1;
    private boolean hasSamples;

    /** Returns whether any request has completed, so that the estimates are meaningful. */
    boolean hasSamples() {
        return hasSamples;
    }

    double meanRunMillis() {
        return meanRunMillis;
    }

    /** Returns the time to prefill the given number of uncached tokens. */
    static double prefillMillis(double tokens, double tokensPerSecond) {
        return tokensPerSecond > 0 ? 1_000 * tokens / (tokensPerSecond * PREFILL_SPEEDUP) : 0;
    }

    /** Returns the estimated run time after the prefill; one millisecond while there are no samples. */
    double outputMillis(Request request, double tokensPerSecond) {
        if (!hasSamples) {
            return 1;
        }
        if (tokensPerSecond <= 0) {
            return meanRunMillis;
        }
        return Math.max(1, 1_000 * request.maxTokens() * outputFraction / tokensPerSecond);
    }

    /**
     * Records a request that completed successfully.
     *
     * <p>The queue wait of a request is not known, because engines run more urgent requests first. Subtracting an
     * estimated queue wait from the duration would feed errors of that estimate back into itself; symptom: estimates
     * that grow without bound under overload. So a request that queued can only lower the estimate.
     *
     * @param durationMillis the measured duration
     * @param queued whether the request had to queue
     * @param prefillMillis the prefill time that was estimated
     * @param tokensPerSecond the target's decode rate
     * @param maxTokens the maximum number of generated tokens
     */
    void recordRun(double durationMillis, boolean queued, double prefillMillis, double tokensPerSecond, int maxTokens) {
        if (hasSamples && queued && durationMillis >= meanRunMillis) {
            return;
        }
        meanRunMillis = hasSamples
                ? meanRunMillis + SMOOTHING_FACTOR * (durationMillis - meanRunMillis)
                : Math.max(1, durationMillis);
        hasSamples = true;
        if (!queued && tokensPerSecond > 0 && maxTokens > 0) {
            double fraction = Math.max(0, durationMillis - prefillMillis) * tokensPerSecond / (1_000.0 * maxTokens);
            double boundedFraction = Math.max(MIN_OUTPUT_FRACTION, Math.min(MAX_OUTPUT_FRACTION, fraction));
            outputFraction += SMOOTHING_FACTOR * (boundedFraction - outputFraction);
        }
    }

    /**
     * Returns the ratio of the measured to the expected duration, relative to the service's mean of that ratio. The
     * ratio is boundedFraction and the mean is smoothed, so that a single slow answer does not make a target appear
     * slow.
     */
    double relativeSlowness(double durationMillis, double expectedMillis) {
        double ratio = Math.min(MAX_RATIO, durationMillis / Math.max(1, expectedMillis));
        double relative = Math.min(MAX_RATIO, ratio / Math.max(MIN_RATIO, meanSlowness));
        meanSlowness += SMOOTHING_FACTOR * (ratio - meanSlowness);
        return relative;
    }
}
