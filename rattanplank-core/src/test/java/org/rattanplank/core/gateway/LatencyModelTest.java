package org.rattanplank.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LatencyModelTest {
    private static final int TOKENS = 12_000;

    /** Time to the first event of an idle engine by the initial estimate of 50 tokens a millisecond. */
    private static final double IDLE_MILLIS = 40 + TOKENS * 0.02;

    /** Wait of a least urgent request while others overtake it. */
    private static final double OVERTAKEN_MILLIS = 4_000;

    private static final long OBSERVATION_MILLIS = 200;
    private static final int OBSERVATIONS = 60;

    private final LatencyModel model = new LatencyModel();

    private long overload() {
        long nowMillis = 0;
        for (int i = 0; i < OBSERVATIONS; i++) {
            nowMillis += OBSERVATION_MILLIS;
            model.recordFirstEvent(TOKENS, Urgency.LAST, OVERTAKEN_MILLIS, nowMillis);
        }
        return nowMillis;
    }

    @Test
    void shouldExpectTheObservedTimeWhenTheOverloadContinues() {
        long nowMillis = overload();

        assertEquals(
                OVERTAKEN_MILLIS,
                model.firstEventMillis(TOKENS, Urgency.LAST, nowMillis + OBSERVATION_MILLIS),
                OVERTAKEN_MILLIS / 10);
        assertEquals(IDLE_MILLIS, model.firstEventMillis(TOKENS, Urgency.FIRST, nowMillis), 1);
    }

    /**
     * Guards against hosts that still forward the largest prompts to regions at their own peak eight seconds after an
     * overload has ended, as they expect 1 to 5 s locally while their engines are nearly idle. Under overload the least
     * urgent requests are overtaken, and each host's estimate of their time per token rises; after it they are expected
     * to be late and are forwarded. It comes about when estimates don't decay, as requests that are not sent are not
     * observed. With two hosts a region each one observes enough requests to correct its estimate within a second; with
     * thirty it observes one in thirty.
     */
    @Test
    void shouldExpectAnIdleEngineAgainWhenNothingWasObservedForAWhile() {
        long nowMillis = overload();

        assertTrue(model.firstEventMillis(TOKENS, Urgency.LAST, nowMillis + 4_000) < 2 * IDLE_MILLIS);
        assertEquals(IDLE_MILLIS, model.firstEventMillis(TOKENS, Urgency.LAST, nowMillis + 20_000), 1);
    }

    @Test
    void shouldAdaptAgainWhenTheOverloadReturns() {
        long nowMillis = overload() + 20_000;
        model.recordFirstEvent(TOKENS, Urgency.LAST, OVERTAKEN_MILLIS, nowMillis);
        double afterOneMillis = model.firstEventMillis(TOKENS, Urgency.LAST, nowMillis);
        for (int i = 0; i < 10; i++) {
            nowMillis += OBSERVATION_MILLIS;
            model.recordFirstEvent(TOKENS, Urgency.LAST, OVERTAKEN_MILLIS, nowMillis);
        }

        assertTrue(afterOneMillis < OVERTAKEN_MILLIS / 2, "estimate after one observation: " + afterOneMillis);
        assertTrue(model.firstEventMillis(TOKENS, Urgency.LAST, nowMillis) > OVERTAKEN_MILLIS / 2);
    }
}
