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
    private static final double SLACK_RETRIES = 52;
    private static final long WINDOW_MILLIS = 10_000;
    private static final int MIN_HOSTS = 16;

    @Test
    void shouldCountServicesSeparatelyWhenOneHasSpentItsShare() {
        RetryBudget budget = RetryBudget.of(RATIO, SLACK_RETRIES, MIN_HOSTS, WINDOW_MILLIS);
        while (budget.trySpend("a", 0)) {
            assertTrue(budget.remaining("a", 0) >= 0);
        }

        assertFalse(budget.trySpend("a", 0));
        assertTrue(budget.trySpend("b", 0));
    }

    /**
     * Guards against targets being overloaded by retries though each host stays within its own share. Any number of
     * hosts retry all that they may. This happens when the shares of the hosts add up to more than the total. A host's
     * share does not depend on what it knows of other hosts, so the total is bounded.
     */
    @Property(tries = 200)
    void shouldKeepTheTotalUnderTheBoundWhenAllHostsRetryAllTheyMay(
            @ForAll @IntRange(min = 1, max = MIN_HOSTS) int hosts,
            @ForAll @Size(min = 1, max = 40) java.util.List<@IntRange(min = 0, max = 400) Integer> attemptsPerStep) {
        RetryBudget[] budgets = new RetryBudget[hosts];
        for (int host = 0; host < hosts; host++) {
            budgets[host] = RetryBudget.of(RATIO, SLACK_RETRIES, MIN_HOSTS, WINDOW_MILLIS);
        }
        // A retry may be granted for a first attempt up to one window earlier, so first attempts are counted over two
        // windows.
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
            double bound = RATIO * firstAttempts.count(now) + SLACK_RETRIES;
            assertTrue(retries.count(now) <= bound, "retries over the bound");
        }
    }

    /**
     * Guards against targets being overloaded by retries in a large system. More hosts than the configured minimum
     * retry all that they may after a fault that fails every request; each knows at least four fifths of the hosts.
     * This happens when the slack is always divided by the minimum of 16 hosts: 90 hosts then get over five times the
     * total.
     */
    @Property(tries = 100)
    void shouldKeepTheTotalUnderTheSlackWhenHostsKnowMostOthers(
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

    /** Tries every sequence of eight steps: a first attempt or a retry at either of two hosts, or an advance of time. */
    @Test
    void shouldKeepTheTotalUnderTheBoundWhenTwoHostsMakeEightStepsInAnyOrder() {
        int steps = 8;
        int kinds = 5;
        int orders = (int) Math.pow(kinds, steps);
        for (int order = 0; order < orders; order++) {
            simulate(order, steps, kinds);
        }
    }

    private static void simulate(int order, int steps, int kinds) {
        double ratio = 1;
        double slack = 2;
        long windowMillis = 10;
        RetryBudget[] hosts = {
            RetryBudget.of(ratio, slack, 2, windowMillis), RetryBudget.of(ratio, slack, 2, windowMillis)
        };
        SlidingWindowCounter firstAttempts = new SlidingWindowCounter(2 * windowMillis);
        SlidingWindowCounter retries = new SlidingWindowCounter(windowMillis);
        long now = 0;
        for (int rest = order, i = 0; i < steps; rest /= kinds, i++) {
            int step = rest % kinds;
            if (step == kinds - 1) {
                now += windowMillis / 2;
            } else if (step < 2) {
                hosts[step].recordFirstAttempt("s", now);
                firstAttempts.add(now);
            } else if (hosts[step - 2].trySpend("s", now)) {
                retries.add(now);
            }
            assertTrue(retries.count(now) <= ratio * firstAttempts.count(now) + slack, "order " + order);
        }
    }
}
