package org.rattanplank.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdmissionTest {
    private static final long OBJECTIVE_MILLIS = 1_000;
    private static final double OWN_MILLIS = 100;

    /** Callers come so many times as fast as the engine reads, for so long. */
    private static final double OVERLOAD = 2;

    private static final long OVERLOAD_MILLIS = 10_000;

    @Test
    void shouldTakeARequestWhenItWouldBeInTime() {
        assertFalse(Admission.shouldRefuse(800, 900, OBJECTIVE_MILLIS, Urgency.MIDDLE));
        assertTrue(Admission.shouldRefuse(801, 901, OBJECTIVE_MILLIS, Urgency.MIDDLE));
    }

    @Test
    void shouldRefuseTheLessUrgentFirstWhenAllWouldWaitAlike() {
        assertFalse(Admission.shouldRefuse(850, 950, OBJECTIVE_MILLIS, Urgency.FIRST));
        assertTrue(Admission.shouldRefuse(850, 950, OBJECTIVE_MILLIS, Urgency.MIDDLE));
        assertFalse(Admission.shouldRefuse(700, 800, OBJECTIVE_MILLIS, Urgency.LAST));
        assertTrue(Admission.shouldRefuse(750, 850, OBJECTIVE_MILLIS, Urgency.LAST));
    }

    /** A prompt so large that it is late by itself would never be served if any wait refused it. */
    @Test
    void shouldTakeALargePromptWhenItHardlyWaits() {
        assertFalse(Admission.shouldRefuse(0, 5_000, OBJECTIVE_MILLIS, Urgency.LAST));
        assertFalse(Admission.shouldRefuse(200, 5_200, OBJECTIVE_MILLIS, Urgency.LAST));
        assertTrue(Admission.shouldRefuse(300, 5_300, OBJECTIVE_MILLIS, Urgency.LAST));
    }

    @Test
    void shouldLeaveItToOthersWhenNoPlaceIsKnown() {
        assertFalse(Admission.shouldRefuse(
                Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, OBJECTIVE_MILLIS, Urgency.FIRST));
    }

    /**
     * Symptom: under overload nearly all that is taken is late. Sequence: callers come twice as fast as an engine reads,
     * for ten seconds. Cause: a queue in which each waits longer than the objective serves no more than a short one.
     */
    @Test
    void shouldAnswerAllInTimeWhenCallersComeTwiceAsFastAsAnEngineReads() {
        double freeAtMillis = 0;
        int late = 0;
        int inTime = 0;
        for (double nowMillis = 0; nowMillis < OVERLOAD_MILLIS; nowMillis += OWN_MILLIS / OVERLOAD) {
            double waitMillis = Math.max(0, freeAtMillis - nowMillis);
            if (Admission.shouldRefuse(waitMillis, waitMillis + OWN_MILLIS, OBJECTIVE_MILLIS, Urgency.FIRST)) {
                continue;
            }
            freeAtMillis = Math.max(freeAtMillis, nowMillis) + OWN_MILLIS;
            if (freeAtMillis - nowMillis > OBJECTIVE_MILLIS) {
                late++;
            } else {
                inTime++;
            }
        }
        assertTrue(late == 0, "late: " + late);
        assertTrue(inTime >= OVERLOAD_MILLIS / OWN_MILLIS, "in time: " + inTime);
    }
}
