package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ReturnQueueTest {
    private static final String SERVICE = "drafts";
    private static final long REMAINING_MILLIS = 10_000;
    private static final double COST_MILLIS = 100;

    private final ReturnQueue queue = new ReturnQueue();

    private long refuse(Urgency urgency, long nowMillis) {
        return queue.returnAfter(SERVICE, urgency, COST_MILLIS, REMAINING_MILLIS, 0, nowMillis);
    }

    /**
     * Symptom: callers that were refused are refused again. Sequence: an overload lasts some seconds; all that are refused
     * in it are told the same short time. Cause: they come back together, into the backlog that refused them.
     */
    @Test
    void shouldCallThemBackOneAfterTheOtherWhenManyAreRefusedAtOnce() {
        List<Long> told = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            told.add(refuse(Urgency.FIRST, 0));
        }

        for (int i = 0; i < told.size(); i++) {
            assertEquals(ReturnQueue.MIN_RETRY_AFTER_MILLIS + i * (long) COST_MILLIS, told.get(i));
        }
    }

    @Test
    void shouldNeverTellATimeThatIsOfNoUse() {
        for (int i = 0; i < 1_000; i++) {
            assertTrue(refuse(Urgency.FIRST, i) <= ReturnQueue.MAX_REMAINING_FRACTION * REMAINING_MILLIS);
        }
    }

    @Test
    void shouldCallBackSoonAgainWhenTheOverloadIsOver() {
        for (int i = 0; i < 1_000; i++) {
            refuse(Urgency.FIRST, 0);
        }

        assertEquals(ReturnQueue.MIN_RETRY_AFTER_MILLIS, refuse(Urgency.FIRST, REMAINING_MILLIS));
    }

    @Test
    void shouldNotLetTheLessUrgentWaitForTheMoreUrgent() {
        refuse(Urgency.FIRST, 0);
        refuse(Urgency.FIRST, 0);

        assertEquals(ReturnQueue.MIN_RETRY_AFTER_MILLIS, refuse(Urgency.LAST, 0));
    }
}
