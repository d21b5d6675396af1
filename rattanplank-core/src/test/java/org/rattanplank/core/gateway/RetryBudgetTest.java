package org.rattanplank.core.gateway;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 52;
    private static final long WINDOW_MILLIS = 10_000;
    private static final int MIN_HOSTS = 16;

    @Test
    void shouldCountServicesSeparatelyWhenOneHasSpentItsShare() {
        RetryBudget budget = RetryBudget.of(RATIO, SLACK, MIN_HOSTS, WINDOW_MILLIS);
        while (budget.trySpend("a", 0)) {
            assertTrue(budget.remaining("a", 0) >= 0);
        }

        assertFalse(budget.trySpend("a", 0));
        assertTrue(budget.trySpend("b", 0));
    }

    /**
     * Guards against targets being overloaded by retries though each host keeps its own bound. Any number of hosts,
     * each with any view of the others, retry all that they may; it comes about when the shares of the hosts exceed the
     * total. Each host's share depends on nothing that it knows of others, so the sum is bounded.
     */
    @Property(tries = 200)
    void shouldKeepTheSumUnderTheBoundWhenAllHostsRetryAllTheyMay(
            @ForAll @IntRange(min = 1, max = MIN_HOSTS) int hosts,
            @ForAll @Size(min = 1, max = 40) java.util.List<@IntRange(min = 0, max = 400) Integer> attemptsPerStep) {
        RetryBudget[] budgets = new RetryBudget[hosts];
        for (int host = 0; host < hosts; host++) {
            budgets[host] = RetryBudget.of(RATIO, SLACK, MIN_HOSTS, WINDOW_MILLIS);
        }
        // A retry of this window was granted for first attempts of the window that ended with it: two windows contain
        // both.
        SlidingWindowCounter firstAttempts = new SlidingWindowCounter(2 * WINDOW_MILLIS);
        SlidingWindowCounter retries = new SlidingWindowCounter(WINDOW_MILLIS);
        long now = 0;
        for (int step : attemptsPerStep) {
            now += 250;
            for (int i = 0; i < step; i++) {
                budgets[i % hosts].recordFirstAttempt("s", now);
                firstAttempts.add(now);
            }
            for (RetryBudget budget : budgets) {
                while (budget.trySpend("s", now)) {
                    retries.add(now);
                }
            }
            double bound = RATIO * firstAttempts.count(now) + SLACK;
            assertTrue(retries.count(now) <= bound, "retries over the bound");
        }
    }

    /**
     * Guards against targets being overloaded by retries in a large system. More hosts than the configured minimum
     * retry all that they may after a fault that fails everything; each knows at least four fifths of the others. It
     * comes about when the slack is divided by sixteen whatever the number of hosts: ninety of them get five times the
     * total.
     */
    @Property(tries = 100)
    void shouldKeepTheSumUnderTheSlackWhenHostsKnowMostOthers(
            @ForAll @IntRange(min = 1, max = 400) int hosts,
            @ForAll @IntRange(min = 0, max = 20) int unknownPercent,
            @ForAll @IntRange(min = 0, max = 500) int slack) {
        int granted = 0;
        for (int host = 0; host < hosts; host++) {
            RetryBudget budget = RetryBudget.of(RATIO, slack, MIN_HOSTS, WINDOW_MILLIS);
            budget.updateKnownHosts((int) Math.ceil(hosts * (100 - unknownPercent) / 100.0));
            budget.updateKnownHosts(1);
            while (budget.trySpend("s", 0)) {
                granted++;
            }
        }

        assertTrue(granted <= slack, granted + " of " + slack);
    }

    /** Covers every order of first attempts, retries and steps in time that two hosts can make in eight moves. */
    @Test
    void shouldKeepTheSumUnderTheBoundWhenTwoHostsMakeEightMovesInAnyOrder() {
        int moves = 8;
        int kinds = 5;
        int orders = (int) Math.pow(kinds, moves);
        for (int order = 0; order < orders; order++) {
            simulate(order, moves, kinds);
        }
    }

    private static void simulate(int order, int moves, int kinds) {
        double ratio = 1;
        double slack = 2;
        long windowMillis = 10;
        RetryBudget[] hosts = {
            RetryBudget.of(ratio, slack, 2, windowMillis), RetryBudget.of(ratio, slack, 2, windowMillis)
        };
        SlidingWindowCounter firstAttempts = new SlidingWindowCounter(2 * windowMillis);
        SlidingWindowCounter retries = new SlidingWindowCounter(windowMillis);
        long now = 0;
        for (int rest = order, i = 0; i < moves; rest /= kinds, i++) {
            int move = rest % kinds;
            if (move == kinds - 1) {
                now += windowMillis / 2;
            } else if (move < 2) {
                hosts[move].recordFirstAttempt("s", now);
                firstAttempts.add(now);
            } else if (hosts[move - 2].trySpend("s", now)) {
                retries.add(now);
            }
            assertTrue(retries.count(now) <= ratio * firstAttempts.count(now) + slack, "order " + order);
        }
    }
}
