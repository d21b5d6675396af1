package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RetryAfterQueueTest {
    private static final String SERVICE = "drafts";
    private static final long REMAINING_MILLIS = 10_000;
    private static final double COST_MILLIS = 100;

    private final RetryAfterQueue queue = new RetryAfterQueue();

    /** Guards against callers that are sent back before anything can be served, or all at once when it can. */
    @Test
    void shouldSpreadCallersBehindTheTimeWhenNothingCanBeServedUntilThen() {
        long unavailableMillis = 4 * REMAINING_MILLIS;
        long previous = unavailableMillis;
        for (int i = 0; i < 3; i++) {
            long next = queue.retryAfterMillis(
                    SERVICE, Urgency.FIRST, COST_MILLIS, unavailableMillis, REMAINING_MILLIS, 0, 0);
            assertTrue(next >= previous, next + " after " + previous);
            previous = next;
        }
    }

    private long reject(Urgency urgency, long nowMillis) {
        return queue.retryAfterMillis(SERVICE, urgency, COST_MILLIS, 0, REMAINING_MILLIS, 0, nowMillis);
    }

    /**
     * Guards against rejected callers being rejected again. An overload lasts some seconds; it comes about when all
     * callers rejected in it are given the same short time, and come back together into the backlog that rejected them.
     */
    @Test
    void shouldSpreadCallersWhenManyAreRejectedAtOnce() {
        List<Long> retryAfterMillis = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            retryAfterMillis.add(reject(Urgency.FIRST, 0));
        }

        for (int i = 0; i < retryAfterMillis.size(); i++) {
            assertEquals(RetryAfterQueue.MIN_RETRY_AFTER_MILLIS + i * (long) COST_MILLIS, retryAfterMillis.get(i));
        }
    }

    @Test
    void shouldNeverExceedTheUsefulTimeWhenManyAreRejected() {
        for (int i = 0; i < 1_000; i++) {
            assertTrue(reject(Urgency.FIRST, i) <= RetryAfterQueue.MAX_REMAINING_FRACTION * REMAINING_MILLIS);
        }
    }

    @Test
    void shouldReturnTheMinimumAgainWhenTheOverloadIsOver() {
        for (int i = 0; i < 1_000; i++) {
            reject(Urgency.FIRST, 0);
        }

        assertEquals(RetryAfterQueue.MIN_RETRY_AFTER_MILLIS, reject(Urgency.FIRST, REMAINING_MILLIS));
    }

    @Test
    void shouldQueueUrgenciesSeparatelyWhenTheMoreUrgentAreRejected() {
        reject(Urgency.FIRST, 0);
        reject(Urgency.FIRST, 0);

        assertEquals(RetryAfterQueue.MIN_RETRY_AFTER_MILLIS, reject(Urgency.LAST, 0));
    }
}
