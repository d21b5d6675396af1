package org.rattanplank.core.gateway;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/**
 * How long targets of a service take, learnt from their answers.
 *
 * <p>A model engine's first event is taken to come after a fixed time, plus the wait until running requests have left
 * it a slot and memory, plus a time for each token of the prompts that are read before, its own included. That time is
 * learnt for each urgency apart: less urgent requests are overtaken by those that come later. A plain service's answer
 * comes after its mean time, in turns of as many as it has slots. Invariants: an estimate is never negative; what was
 * learnt of an urgency fades to what the least delayed one takes while none of its requests is seen. Confined to its owner's
 * thread.
 */
public final class LatencyModel {
    /** The weight of a new observation; some thirty of them outweigh what was learnt before. */
    private static final double SMOOTHING = 0.05;

    /**
     * How long what was seen of an urgency counts: a wave of load lasts some seconds. Where requests of an urgency are rare,
     * as on each of thirty hosts, the weight of a new one grows with the time since the last.
     */
    private static final double OBSERVATION_DECAY_MILLIS = 2_000;

    /** One observation alone may be a wild one. */
    private static final double MAX_WEIGHT = 0.3;

    /** Without an observation for so long, what is believed may be why there is none, and fades. */
    private static final long UNOBSERVED_MILLIS = 1_000;

    /** In so long, half of it has faded: a peak's end is known two to three seconds later. */
    private static final double HALF_LIFE_MILLIS = 750;

    /** Until observations say more: a first event of an idle engine. */
    private static final double FIRST_EVENT_BASE_MILLIS = 40;

    /** Until observations say more: an engine that reads 50 tokens a millisecond. */
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.02;

    /** Until observations say more: a generation of some hundred tokens. */
    private static final double INITIAL_DECODE_MILLIS = 2_500;

    /** Until observations say more: an answer of a plain service. */
    private static final double INITIAL_ANSWER_MILLIS = 50;

    /** A learnt time per token leaves these bounds only by one wild observation. */
    private static final double MAX_MILLIS_PER_TOKEN = 0.5;

    /** Fewer tokens say more of the fixed time than of the time per token. */
    private static final double MIN_OBSERVED_TOKENS = 1_000;

    /** Each request at a plain target slows the others a little; this spreads work between idle ones. */
    private static final double SLOWDOWN_PER_REQUEST = 0.05;

    private final Map<Urgency, Double> millisPerToken = new EnumMap<>(Urgency.class);
    private final Map<Urgency, Long> observedAtMillis = new EnumMap<>(Urgency.class);
    private final Map<Urgency, Double> usualTokens = new EnumMap<>(Urgency.class);
    private double meanDecodeMillis = INITIAL_DECODE_MILLIS;
    private double meanAnswerMillis = INITIAL_ANSWER_MILLIS;

    /** Makes a model that has learnt nothing. */
    public LatencyModel() {
        for (Urgency urgency : Urgency.values()) {
            millisPerToken.put(urgency, INITIAL_MILLIS_PER_TOKEN);
        }
    }

    /**
     * Expects the time that a request waits for a slot and memory.
     *
     * @param slotsShort how many running requests must end before it has a slot; none if not positive
     * @param slots the slots of the engine
     * @param memoryShort the tokens that must be freed before its memory fits; none if not positive
     * @param memoryUsed the tokens that running requests hold
     * @return milliseconds
     */
    public double roomMillis(int slotsShort, int slots, double memoryShort, double memoryUsed) {
        // Requests end evenly over their mean time, and each end frees a slot and its part of the memory.
        double slotMillis = Math.max(0, slotsShort) * meanDecodeMillis / Math.max(1, slots);
        double memoryMillis = memoryUsed <= 0 ? 0 : Math.max(0, memoryShort) / memoryUsed * meanDecodeMillis;
        return Math.max(slotMillis, memoryMillis);
    }

    /**
     * Expects the time from a request's admission to its first event.
     *
     * @param tokens the tokens that are read before it, its own included
     * @param urgency its urgency
     * @param nowMillis the time
     * @return milliseconds
     */
    public double firstEventMillis(double tokens, Urgency urgency, long nowMillis) {
        return FIRST_EVENT_BASE_MILLIS + tokens * millisPerToken(urgency, nowMillis);
    }

    /**
     * What each token takes. Expected to be late, requests of an urgency are refused or sent elsewhere, and nothing is seen
     * of them: without fading, a region would be taken for slow long after its peak. One would see work sent from idle
     * regions to busy ones.
     */
    private double millisPerToken(Urgency urgency, long nowMillis) {
        double learnt = millisPerToken.get(urgency);
        long quietMillis = nowMillis - observedAtMillis.getOrDefault(urgency, 0L) - UNOBSERVED_MILLIS;
        if (quietMillis <= 0) {
            return learnt;
        }
        double least = Collections.min(millisPerToken.values());
        return least + (learnt - least) * Math.pow(0.5, quietMillis / HALF_LIFE_MILLIS);
    }

    /**
     * Takes note of a prompt that is sent.
     *
     * @param tokens the tokens that are to be read
     * @param urgency its urgency
     */
    public void promptSent(int tokens, Urgency urgency) {
        double known = usualTokens.getOrDefault(urgency, (double) tokens);
        usualTokens.put(urgency, known + SMOOTHING * (tokens - known));
    }

    /**
     * What prompts of an urgency have to be read.
     *
     * @param urgency the urgency
     * @return tokens on the mean, as many as there are if none has been sent
     */
    public double usualTokens(Urgency urgency) {
        return usualTokens.getOrDefault(urgency, Double.MAX_VALUE);
    }

    /**
     * What an engine takes to read a token while nothing more urgent delays it.
     *
     * @param nowMillis the time
     * @return milliseconds, as the least delayed urgency shows it
     */
    public double readMillisPerToken(long nowMillis) {
        double least = Double.MAX_VALUE;
        for (Urgency urgency : Urgency.values()) {
            least = Math.min(least, millisPerToken(urgency, nowMillis));
        }
        return least;
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
        return meanAnswerMillis * (1 + turns + SLOWDOWN_PER_REQUEST * ahead);
    }

    /**
     * How much a unit of work adds to the time of a target.
     *
     * @param isModel whether the unit is a token of a prompt, rather than a request
     * @param urgency the urgency of the work
     * @param slots the requests that a target works on at once
     * @param nowMillis the time
     * @return milliseconds
     */
    public double perUnitMillis(boolean isModel, Urgency urgency, int slots, long nowMillis) {
        return isModel ? millisPerToken(urgency, nowMillis) : meanAnswerMillis / Math.max(1, slots);
    }

    /**
     * Learns from a first event.
     *
     * @param tokens the tokens that were expected to be read before it
     * @param urgency its urgency
     * @param tookMillis the time it took beyond the time that it was expected to wait for room
     * @param nowMillis the time
     */
    public void firstEventTook(double tokens, Urgency urgency, double tookMillis, long nowMillis) {
        if (tokens < MIN_OBSERVED_TOKENS) {
            return;
        }
        double seen = Math.min(MAX_MILLIS_PER_TOKEN, Math.max(0, tookMillis - FIRST_EVENT_BASE_MILLIS) / tokens);
        double known = millisPerToken(urgency, nowMillis);
        long sinceMillis = nowMillis - observedAtMillis.getOrDefault(urgency, 0L);
        double weight = Math.min(MAX_WEIGHT, Math.max(SMOOTHING, 1 - Math.exp(-sinceMillis / OBSERVATION_DECAY_MILLIS)));
        millisPerToken.put(urgency, known + weight * (seen - known));
        observedAtMillis.put(urgency, nowMillis);
    }

    /**
     * Learns from a generation that ended well.
     *
     * @param tookMillis the time from its first event to its end
     */
    public void generationTook(double tookMillis) {
        meanDecodeMillis += SMOOTHING * (tookMillis - meanDecodeMillis);
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
            meanAnswerMillis += SMOOTHING * (tookMillis - meanAnswerMillis);
        }
    }
}
