package org.rattanplank.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ForwardDelayTest {
    private static final double ROUND_TRIP_MILLIS = 160;

    @Test
    void shouldCountOneWayWhenTheLinkIsCalm() {
        // Said at 1,000, heard at 1,080 of the same time, forwarded 300 ms later, read after another 80 ms.
        assertEquals(80, ForwardDelay.millis(1_460, 1_000, 300, ROUND_TRIP_MILLIS));
    }

    /**
     * Symptom: targets run requests two seconds after their callers' time was up. Sequence: a request with one second
     * left is forwarded; the receiving host has just started and reads it three seconds later. Cause: the time that it
     * was under way was not taken from the time that it had left.
     */
    @Test
    void shouldCountTheWholeDelayWhenARequestIsReadLate() {
        assertEquals(3_080, ForwardDelay.millis(4_460, 1_000, 300, ROUND_TRIP_MILLIS));
    }

    @Test
    void shouldCountNothingWhenTheSenderHeardNoState() {
        assertEquals(0, ForwardDelay.millis(4_460, 0, 4_460, ROUND_TRIP_MILLIS));
    }

    @Test
    void shouldNeverBeNegativeWhenTheWayIsFasterThanUsual() {
        assertEquals(0, ForwardDelay.millis(1_310, 1_000, 300, ROUND_TRIP_MILLIS));
    }
}
