package org.rattanplank.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdmissionTest {
    private static final long OBJECTIVE_MILLIS = 1_000;
    private static final double PREFILL_MILLIS = 100;

    /** Factor by which requests arrive faster than the engine prefills them during the overload. */
    private static final double OVERLOAD_FACTOR = 2;

    private static final long OVERLOAD_MILLIS = 10_000;

    @Test
    void shouldAcceptARequestWhenItWouldBeInTime() {
        assertFalse(Admission.shouldReject(800, 900, OBJECTIVE_MILLIS, Urgency.MIDDLE));
        assertTrue(Admission.shouldReject(801, 901, OBJECTIVE_MILLIS, Urgency.MIDDLE));
    }

    @Test
    void shouldRejectTheLessUrgentFirstWhenAllWouldWaitEqually() {
        assertFalse(Admission.shouldReject(850, 950, OBJECTIVE_MILLIS, Urgency.FIRST));
        assertTrue(Admission.shouldReject(850, 950, OBJECTIVE_MILLIS, Urgency.MIDDLE));
        assertFalse(Admission.shouldReject(700, 800, OBJECTIVE_MILLIS, Urgency.LAST));
        assertTrue(Admission.shouldReject(750, 850, OBJECTIVE_MILLIS, Urgency.LAST));
    }

    /** Guards against a prompt so large that it is late by itself never being served, as any wait rejects it. */
    @Test
    void shouldAcceptALargePromptWhenItHardlyWaits() {
        assertFalse(Admission.shouldReject(0, 5_000, OBJECTIVE_MILLIS, Urgency.LAST));
        assertFalse(Admission.shouldReject(200, 5_200, OBJECTIVE_MILLIS, Urgency.LAST));
        assertTrue(Admission.shouldReject(300, 5_300, OBJECTIVE_MILLIS, Urgency.LAST));
    }

    @Test
    void shouldNotRejectWhenThereIsNoCandidate() {
        assertFalse(Admission.shouldReject(
                Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, OBJECTIVE_MILLIS, Urgency.FIRST));
    }

    /**
     * Guards against nearly all accepted requests being late under overload, here at twice the rate at which an engine
     * prefills, for ten seconds. It comes about when each request waits in the queue for longer than the objective:
     * such a queue serves no more than a short one.
     */
    @Test
    void shouldAnswerAllInTimeWhenRequestsArriveTwiceAsFastAsAnEnginePrefills() {
        double freeAtMillis = 0;
        int late = 0;
        int inTime = 0;
        for (double nowMillis = 0; nowMillis < OVERLOAD_MILLIS; nowMillis += PREFILL_MILLIS / OVERLOAD_FACTOR) {
            double queueWaitMillis = Math.max(0, freeAtMillis - nowMillis);
            if (Admission.shouldReject(
                    queueWaitMillis, queueWaitMillis + PREFILL_MILLIS, OBJECTIVE_MILLIS, Urgency.FIRST)) {
                continue;
            }
            freeAtMillis = Math.max(freeAtMillis, nowMillis) + PREFILL_MILLIS;
            if (freeAtMillis - nowMillis > OBJECTIVE_MILLIS) {
                late++;
            } else {
                inTime++;
            }
        }
        assertTrue(late == 0, "late: " + late);
        assertTrue(inTime >= OVERLOAD_MILLIS / PREFILL_MILLIS, "in time: " + inTime);
    }
}
