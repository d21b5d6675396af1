package org.rattanplank.core.gateway;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RepeatAllowanceTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 52;
    private static final long WINDOW_MILLIS = 10_000;
    private static final int MOST_HOSTS = 16;

    @Test
    void shouldKeepServicesApartWhenOneHasSpentItsPart() {
        RepeatAllowance allowance = RepeatAllowance.of(RATIO, SLACK, MOST_HOSTS, WINDOW_MILLIS);
        while (allowance.spend("a", 0)) {
            assertTrue(allowance.left("a", 0) >= 0);
        }

        assertFalse(allowance.spend("a", 0));
        assertTrue(allowance.spend("b", 0));
    }

    /**
     * Symptom: targets drown in repeats though each host keeps its own bound. Sequence: any number of hosts, each with
     * any view of the others, repeat all that they may. Cause: parts that don't add up to the whole. Each host's part
     * depends on nothing that it believes of others, so the sum is bounded.
     */
    @Property(tries = 200)
    void shouldKeepTheSumUnderTheBoundWhenAllHostsRepeatAllTheyMay(
            @ForAll @IntRange(min = 1, max = MOST_HOSTS) int hosts,
            @ForAll @Size(min = 1, max = 40) java.util.List<@IntRange(min = 0, max = 400) Integer> firstsPerStep) {
        RepeatAllowance[] allowances = new RepeatAllowance[hosts];
        for (int host = 0; host < hosts; host++) {
            allowances[host] = RepeatAllowance.of(RATIO, SLACK, MOST_HOSTS, WINDOW_MILLIS);
        }
        // A repeat of this window was granted for first sends of the window that ended with it: two windows hold both.
        SlidingCount firsts = new SlidingCount(2 * WINDOW_MILLIS);
        SlidingCount repeats = new SlidingCount(WINDOW_MILLIS);
        long now = 0;
        for (int step : firstsPerStep) {
            now += 250;
            for (int i = 0; i < step; i++) {
                allowances[i % hosts].first("s", now);
                firsts.add(now);
            }
            for (RepeatAllowance allowance : allowances) {
                while (allowance.spend("s", now)) {
                    repeats.add(now);
                }
            }
            double bound = RATIO * firsts.count(now) + SLACK;
            assertTrue(repeats.count(now) <= bound, "repeats over the bound");
        }
    }
}
