package org.rattanplank.core.gateway;

/**
 * How long targets of a service take, learnt from their answers.
 *
 * <p>A model engine's first event is taken to come after a fixed time plus a time for each token of the prompts that
 * wait there, its own included; a plain service's answer after its mean time, in turns of as many as it has slots.
 * Invariant: an estimate is never negative. Confined to its owner's thread.
 */
public final class LatencyModel {
    /** The weight of a new observation; some thirty of them outweigh what was learnt before. */
    private static final double SMOOTHING = 0.05;

    /** Until observations say more: a first event of an idle engine. */
    private static final double START_FIXED_MILLIS = 40;

    /** Until observations say more: an engine that reads 50 tokens a millisecond. */
    private static final double START_MILLIS_PER_TOKEN = 0.02;

    /** Until observations say more: an answer of a plain service. */
    private static final double START_PLAIN_MILLIS = 50;

    /** A learnt time per token leaves these bounds only by one wild observation. */
    private static final double MOST_MILLIS_PER_TOKEN = 0.5;

    private double millisPerToken = START_MILLIS_PER_TOKEN;
    private double plainMillis = START_PLAIN_MILLIS;

    /**
     * Expects the time to the first event of an engine.
     *
     * @param waitingTokens the tokens of prompts to be read before it, its own included
     * @return milliseconds
     */
    public double firstEventMillis(double waitingTokens) {
        return START_FIXED_MILLIS + waitingTokens * millisPerToken;
    }

    /**
     * Expects the time to the answer of a plain service.
     *
     * @param ahead the requests under way at the target
     * @param slots the requests that it works on at once
     * @return milliseconds
     */
    public double answerMillis(int ahead, int slots) {
        double turns = Math.max(0, ahead + 1 - slots) / (double) Math.max(1, slots);
        return plainMillis * (1 + turns + 0.05 * ahead);
    }

    /**
     * How much a unit of work adds to the time of a target.
     *
     * @param isModel whether the unit is a token of a prompt, rather than a request
     * @param slots the requests that a target works on at once
     * @return milliseconds
     */
    public double perUnitMillis(boolean isModel, int slots) {
        return isModel ? millisPerToken : plainMillis / Math.max(1, slots);
    }

    /**
     * Learns from a first event.
     *
     * @param waitingTokens the tokens that were expected to be read before it
     * @param tookMillis the time it took
     */
    public void firstEventTook(double waitingTokens, double tookMillis) {
        if (waitingTokens < 1_000) {
            return;
        }
        double seen = Math.min(MOST_MILLIS_PER_TOKEN, Math.max(0, tookMillis - START_FIXED_MILLIS) / waitingTokens);
        millisPerToken += SMOOTHING * (seen - millisPerToken);
    }

    /**
     * Learns from an answer of a plain service.
     *
     * @param ahead the requests that were under way when it was sent
     * @param slots the requests that the target works on at once
     * @param tookMillis the time it took
     */
    public void answerTook(int ahead, int slots, double tookMillis) {
        if (ahead < slots) {
            plainMillis += SMOOTHING * (tookMillis - plainMillis);
        }
    }
}
