package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LinkRateLimiterTest {
    private static final double LINK_BYTES_PER_MILLI = 1_250;
    private static final int CHUNK_BYTES = 8_192;

    /**
     * Guards against background transfers that fill a link, whatever there is to send and however often it is
     * attempted.
     */
    @Property(tries = 300)
    void shouldKeepEachSpanWithinTheShareWhenAllAllowedBytesAreSent(
            @ForAll @DoubleRange(min = 0.05, max = 1) double share,
            @ForAll @Size(min = 2, max = 60) List<@IntRange(min = 1, max = 200) Integer> pausesMillis) {
        LinkRateLimiter limiter = LinkRateLimiter.of(LINK_BYTES_PER_MILLI, share);
        List<long[]> moved = new ArrayList<>();
        long now = 0;
        for (int pause : pausesMillis) {
            now += pause;
            while (limiter.isAvailable(now)) {
                limiter.consume(CHUNK_BYTES, now);
                moved.add(new long[] {now, CHUNK_BYTES});
            }
        }

        for (long[] first : moved) {
            long bytes = 0;
            for (long[] each : moved) {
                if (each[0] >= first[0]) {
                    bytes += each[1];
                    double spanMillis = each[0] - first[0] + LinkRateLimiter.BURST_MILLIS;
                    assertTrue(bytes <= LINK_BYTES_PER_MILLI * share * spanMillis + CHUNK_BYTES, "bytes: " + bytes);
                }
            }
        }
    }

    @Test
    void shouldReturnTheDelayWhenBytesWereTransferred() {
        LinkRateLimiter limiter = LinkRateLimiter.of(LINK_BYTES_PER_MILLI, 0.5);

        limiter.consume(62_500, 1_000);

        assertEquals(100, limiter.delayMillis(1_000));
        assertEquals(0, limiter.delayMillis(1_100));
    }

    @Test
    void shouldRejectAShareWhenItOrTheLinkIsZero() {
        assertThrows(IllegalArgumentException.class, () -> LinkRateLimiter.of(LINK_BYTES_PER_MILLI, 0));
        assertThrows(IllegalArgumentException.class, () -> LinkRateLimiter.of(0, 1));
    }
}
