package org.rattanplank.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ForwardDelayTest {
    private static final double ROUND_TRIP_MILLIS = 160;

    @Test
    void shouldCountHalfARoundTripWhenTheLinkIsIdle() {
        // Sent at 1,000 by the receiver's clock, received at 1,080, forwarded 300 ms later, read after another 80 ms.
        assertEquals(80, ForwardDelay.delayMillis(1_460, 1_000, 300, ROUND_TRIP_MILLIS));
    }

    /**
     * Guards against targets running requests seconds after their callers' time-out. A request with one second left is
     * forwarded to a host that has just started and reads it three seconds later; it comes about when the transit time
     * is not subtracted from the remaining time.
     */
    @Test
    void shouldCountTheWholeDelayWhenARequestIsReadLate() {
        assertEquals(3_080, ForwardDelay.delayMillis(4_460, 1_000, 300, ROUND_TRIP_MILLIS));
    }

    @Test
    void shouldCountNothingWhenTheSenderReceivedNoState() {
        assertEquals(0, ForwardDelay.delayMillis(4_460, 0, 4_460, ROUND_TRIP_MILLIS));
    }

    @Test
    void shouldNeverBeNegativeWhenTheTransferIsFasterThanUsual() {
        assertEquals(0, ForwardDelay.delayMillis(1_310, 1_000, 300, ROUND_TRIP_MILLIS));
    }
}
