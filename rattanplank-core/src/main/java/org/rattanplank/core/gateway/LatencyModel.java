package org.rattanplank.core.gateway;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/**
 * Estimates how long the targets of a service take, from their answers.
 *
 * <p>The first event of a model engine is assumed to come after a fixed time, plus the wait until running requests have
 * left it a slot and KV cache memory, plus a time for each token of the prompts that are prefilled before it, its own
 * included. The time per token is estimated for each urgency, as less urgent requests are overtaken by later ones. A
 * plain service's answer comes after its mean time, in rounds of as many requests as it has slots. Invariants: an
 * estimate is never negative; the estimate of an urgency decays to that of the least delayed urgency while none of its
 * requests is observed. Confined to its owner's thread.
 */
public final class LatencyModel {
    /** Weight of a new observation; some thirty of them outweigh the earlier ones. */
    private static final double SMOOTHING = 0.05;

    /**
     * Time constant over which observations of an urgency lose their weight, as a wave of load lasts some seconds.
     * Where requests of an urgency are rare, as on each of thirty hosts, the weight of a new observation grows with the
     * time since the last one.
     */
    private static final double OBSERVATION_DECAY_MILLIS = 2_000;

    /** Bounds the influence of a single outlier. */
    private static final double MAX_WEIGHT = 0.3;

    /**
     * Time without an observation after which an estimate decays, as a high estimate may itself be why there are none.
     */
    private static final long UNOBSERVED_MILLIS = 1_000;

    /** Half-life of that decay: the end of a peak is noticed two to three seconds later. */
    private static final double HALF_LIFE_MILLIS = 750;

    /** Time to the first event of an idle engine, without prefill. */
    private static final double FIRST_EVENT_BASE_MILLIS = 40;

    /** Initial estimate: an engine that prefills 50 tokens a millisecond. */
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.02;

    /** Initial estimate: a decode of some hundred tokens. */
    private static final double INITIAL_DECODE_MILLIS = 2_500;

    /** Initial estimate: an answer of a plain service. */
    private static final double INITIAL_ANSWER_MILLIS = 50;

    /** Upper bound of an observed time per token; only outliers exceed it. */
    private static final double MAX_MILLIS_PER_TOKEN = 0.5;

    /** Prompts with fewer tokens reflect the fixed time rather than the time per token. */
    private static final double MIN_OBSERVED_TOKENS = 1_000;

    /** Relative slowdown by each request at a plain target, which spreads load between idle targets. */
    private static final double SLOWDOWN_PER_REQUEST = 0.05;

    private final Map<Urgency, Double> millisPerToken = new EnumMap<>(Urgency.class);
    private final Map<Urgency, Long> observedAtMillis = new EnumMap<>(Urgency.class);
    private final Map<Urgency, Double> meanPrefillTokens = new EnumMap<>(Urgency.class);
    private double meanDecodeMillis = INITIAL_DECODE_MILLIS;
    private double meanAnswerMillis = INITIAL_ANSWER_MILLIS;

    /** Creates a model without observations. */
    public LatencyModel() {
        for (Urgency urgency : Urgency.values()) {
            millisPerToken.put(urgency, INITIAL_MILLIS_PER_TOKEN);
        }
    }

    /**
     * Estimates the time that a request waits for a slot and KV cache memory.
     *
     * @param missingSlots how many running requests must end before it gets a slot; none if not positive
     * @param slots the slots of the engine
     * @param missingKvCacheTokens the KV cache tokens that must be freed for it; none if not positive
     * @param usedKvCacheTokens the KV cache tokens that running requests hold
     * @return milliseconds
     */
    public double capacityWaitMillis(
            int missingSlots, int slots, double missingKvCacheTokens, double usedKvCacheTokens) {
        // Requests end evenly over their mean time, and each end frees a slot and its share of the memory.
        double slotMillis = Math.max(0, missingSlots) * meanDecodeMillis / Math.max(1, slots);
        double kvCacheMillis =
                usedKvCacheTokens <= 0 ? 0 : Math.max(0, missingKvCacheTokens) / usedKvCacheTokens * meanDecodeMillis;
        return Math.max(slotMillis, kvCacheMillis);
    }

    /**
     * Estimates the time from a request's admission to its first event.
     *
     * @param tokens the tokens that are prefilled before it, its own included
     * @param urgency its urgency
     * @param nowMillis the time
     * @return milliseconds
     */
    public double firstEventMillis(double tokens, Urgency urgency, long nowMillis) {
        return FIRST_EVENT_BASE_MILLIS + tokens * millisPerToken(urgency, nowMillis);
    }

    /**
     * Returns the time per token. While requests of an urgency are expected to be late, they are rejected or sent
     * elsewhere and none is observed: without decay, a region would be considered slow long after its peak. Symptom:
     * requests are forwarded from idle regions to busy ones.
     */
    private double millisPerToken(Urgency urgency, long nowMillis) {
        double observed = millisPerToken.get(urgency);
        long unobservedMillis = nowMillis - observedAtMillis.getOrDefault(urgency, 0L) - UNOBSERVED_MILLIS;
        if (unobservedMillis <= 0) {
            return observed;
        }
        double minMillis = Collections.min(millisPerToken.values());
        return minMillis + (observed - minMillis) * Math.pow(0.5, unobservedMillis / HALF_LIFE_MILLIS);
    }

    /**
     * Records a prompt that is sent.
     *
     * @param tokens the tokens to be prefilled
     * @param urgency its urgency
     */
    public void recordPromptSent(int tokens, Urgency urgency) {
        double previous = meanPrefillTokens.getOrDefault(urgency, (double) tokens);
        meanPrefillTokens.put(urgency, previous + SMOOTHING * (tokens - previous));
    }

    /**
     * Returns the mean number of tokens to be prefilled for prompts of an urgency.
     *
     * @param urgency the urgency
     * @return tokens; unbounded if no prompt of the urgency has been sent
     */
    public double meanPrefillTokens(Urgency urgency) {
        return meanPrefillTokens.getOrDefault(urgency, Double.MAX_VALUE);
    }

    /**
     * Returns the time that an engine takes to prefill a token while nothing more urgent delays it.
     *
     * @param nowMillis the time
     * @return milliseconds, that of the least delayed urgency
     */
    public double prefillMillisPerToken(long nowMillis) {
        double minMillis = Double.MAX_VALUE;
        for (Urgency urgency : Urgency.values()) {
            minMillis = Math.min(minMillis, millisPerToken(urgency, nowMillis));
        }
        return minMillis;
    }

    /**
     * Estimates the time to the answer of a plain service.
     *
     * @param requestsAhead the requests in flight at the target
     * @param slots the requests that it processes concurrently
     * @return milliseconds
     */
    public double answerMillis(int requestsAhead, int slots) {
        double rounds = Math.max(0, requestsAhead + 1 - slots) / (double) Math.max(1, slots);
        return meanAnswerMillis * (1 + rounds + SLOWDOWN_PER_REQUEST * requestsAhead);
    }

    /**
     * Returns how much a unit of work adds to the queue wait at a target.
     *
     * @param isModel whether the unit is a token of a prompt, rather than a request
     * @param urgency the urgency of the work
     * @param slots the requests that a target processes concurrently
     * @param nowMillis the time
     * @return milliseconds
     */
    public double millisPerWorkUnit(boolean isModel, Urgency urgency, int slots, long nowMillis) {
        return isModel ? millisPerToken(urgency, nowMillis) : meanAnswerMillis / Math.max(1, slots);
    }

    /**
     * Records the first event of a stream.
     *
     * @param tokens the tokens that were expected to be prefilled before it
     * @param urgency its urgency
     * @param elapsedMillis the time to the event, less the expected wait for capacity
     * @param nowMillis the time
     */
    public void recordFirstEvent(double tokens, Urgency urgency, double elapsedMillis, long nowMillis) {
        if (tokens < MIN_OBSERVED_TOKENS) {
            return;
        }
        double observed = Math.min(MAX_MILLIS_PER_TOKEN, Math.max(0, elapsedMillis - FIRST_EVENT_BASE_MILLIS) / tokens);
        double previous = millisPerToken(urgency, nowMillis);
        long sinceMillis = nowMillis - observedAtMillis.getOrDefault(urgency, 0L);
        double weight =
                Math.min(MAX_WEIGHT, Math.max(SMOOTHING, 1 - Math.exp(-sinceMillis / OBSERVATION_DECAY_MILLIS)));
        millisPerToken.put(urgency, previous + weight * (observed - previous));
        observedAtMillis.put(urgency, nowMillis);
    }

    /**
     * Records a decode that ended successfully.
     *
     * @param elapsedMillis the time from its first event to its end
     */
    public void recordDecode(double elapsedMillis) {
        meanDecodeMillis += SMOOTHING * (elapsedMillis - meanDecodeMillis);
    }

    /**
     * Records an answer of a plain service.
     *
     * @param requestsAhead the requests that were in flight when it was sent
     * @param slots the requests that the target processes concurrently
     * @param elapsedMillis the time to the answer
     */
    public void recordAnswer(int requestsAhead, int slots, double elapsedMillis) {
        if (requestsAhead < slots) {
            meanAnswerMillis += SMOOTHING * (elapsedMillis - meanAnswerMillis);
        }
    }
}
