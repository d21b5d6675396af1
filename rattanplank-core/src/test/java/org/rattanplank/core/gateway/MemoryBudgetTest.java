package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class MemoryBudgetTest {
    private static final int TOTAL = 1_000;
    private static final long MAX_WAIT = 15_000;

    private final MemoryBudget budget = MemoryBudget.of(TOTAL);

    /** Guards against senders that together take more memory than the host has set aside. */
    @Property
    void shouldNeverHoldMoreThanItsTotalWhenHoldersGrow(
            @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 0, max = TOTAL) Integer> growths) {
        MemoryBudget shared = MemoryBudget.of(TOTAL);
        int[] held = new int[8];
        long granted = 0;
        for (int i = 0; i < growths.size(); i++) {
            int holder = i % held.length;
            int wanted = held[holder] + growths.get(i);
            if (shared.tryGrow(held[holder], wanted)) {
                granted += growths.get(i);
                held[holder] = wanted;
            }
            assertEquals(granted, shared.heldBytes());
            assertTrue(granted <= TOTAL);
        }
    }

    /** Guards against small requests that are refused because of some large ones. */
    @Test
    void shouldGrantLittleWhenMuchIsRefused() {
        List<Integer> large = new ArrayList<>();
        while (budget.tryGrow(0, 100)) {
            large.add(100);
        }

        assertFalse(large.isEmpty());
        assertTrue(budget.tryGrow(0, 10));
    }

    /** Guards against callers that come back before there is memory for them, or long after. */
    @Test
    void shouldNameTheTimeWhenMemoryWillBeFreeAtTheRateOfReleases() {
        for (int second = 0; second < 60; second++) {
            assertTrue(budget.tryGrow(0, 100));
            budget.release(100, 1_000L * second);
        }
        assertTrue(budget.tryGrow(0, 400));
        assertTrue(budget.tryGrow(0, 250));

        long millis = budget.waitMillis(0, 300, MAX_WAIT, 59_000);

        assertFalse(budget.mayGrow(0, 300));
        assertTrue(millis > 1_500 && millis < 3_500, () -> "250 bytes at 100 a second: " + millis + " ms");
    }

    @Test
    void shouldNameTheLongestTimeWhenNothingWasReleased() {
        assertTrue(budget.tryGrow(0, 500));

        assertEquals(MAX_WAIT, budget.waitMillis(0, 400, MAX_WAIT, 1));
    }

    @Test
    void shouldFailWhenMoreIsReleasedThanIsHeld() {
        assertThrows(IllegalArgumentException.class, () -> budget.release(1, 0));
    }
}
