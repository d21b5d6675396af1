package org.rattanplank.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LatencyModelTest {
    private static final int TOKENS = 12_000;

    /** An idle engine reads 50 tokens a millisecond, as far as nothing else is known. */
    private static final double IDLE_MILLIS = 40 + TOKENS * 0.02;

    /** What a request of the least urgent waits while others overtake it. */
    private static final double OVERTAKEN_MILLIS = 4_000;

    private static final long OBSERVATION_MILLIS = 200;
    private static final int OBSERVATIONS = 60;

    private final LatencyModel model = new LatencyModel();

    private long overload() {
        long nowMillis = 0;
        for (int i = 0; i < OBSERVATIONS; i++) {
            nowMillis += OBSERVATION_MILLIS;
            model.firstEventTook(TOKENS, Urgency.LAST, OVERTAKEN_MILLIS, nowMillis);
        }
        return nowMillis;
    }

    @Test
    void shouldExpectWhatItSawWhenTheOverloadGoesOn() {
        long nowMillis = overload();

        assertEquals(
                OVERTAKEN_MILLIS,
                model.firstEventMillis(TOKENS, Urgency.LAST, nowMillis + OBSERVATION_MILLIS),
                OVERTAKEN_MILLIS / 10);
        assertEquals(IDLE_MILLIS, model.firstEventMillis(TOKENS, Urgency.FIRST, nowMillis), 1);
    }

    /**
     * Symptom: eight seconds after a peak the engines of a region are nearly idle, and its hosts still send the largest
     * prompts to regions that have their own peak, as they expect 1 to 5 s at home. Sequence: under overload the least
     * urgent are overtaken, and each host learns a long time for each of their tokens; the overload ends; expected to be
     * late at home, they go elsewhere. Cause: what is not sent is not measured, and what was learnt never faded. With two
     * hosts a region each sees so many requests that it learns in a second; with thirty it sees one in thirty.
     */
    @Test
    void shouldExpectAnIdleEngineAgainWhenNothingWasSeenForAWhile() {
        long nowMillis = overload();

        assertTrue(model.firstEventMillis(TOKENS, Urgency.LAST, nowMillis + 4_000) < 2 * IDLE_MILLIS);
        assertEquals(IDLE_MILLIS, model.firstEventMillis(TOKENS, Urgency.LAST, nowMillis + 20_000), 1);
    }

    @Test
    void shouldLearnAnewWhenTheOverloadComesBack() {
        long nowMillis = overload() + 20_000;
        model.firstEventTook(TOKENS, Urgency.LAST, OVERTAKEN_MILLIS, nowMillis);
        double once = model.firstEventMillis(TOKENS, Urgency.LAST, nowMillis);
        for (int i = 0; i < 10; i++) {
            nowMillis += OBSERVATION_MILLIS;
            model.firstEventTook(TOKENS, Urgency.LAST, OVERTAKEN_MILLIS, nowMillis);
        }

        assertTrue(once < OVERTAKEN_MILLIS / 2, "one observation says little: " + once);
        assertTrue(model.firstEventMillis(TOKENS, Urgency.LAST, nowMillis) > OVERTAKEN_MILLIS / 2);
    }
}
