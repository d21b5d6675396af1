package org.rattanplank.core.gateway;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class StreamLengthFairnessTest {
    private static final List<Integer> HOSTS = List.of(6, 20, 60);
    private static final List<Long> SEEDS = List.of(1L, 2L, 3L);
    private static final int ENGINES = 12;
    private static final int SECONDS = 16;

    /** Load at which callers request somewhat more than the engines can serve, the least urgent most of all. */
    private static final double OVERLOAD = 1.0;

    private static void assertServedLikeOthers(int hosts, StreamKind kind, double minFraction) {
        double all = 0;
        double fifth = 0;
        double tenth = 0;
        for (long seed : SEEDS) {
            SimulatedRegion region = SimulatedRegion.simulate(hosts, ENGINES, OVERLOAD, SECONDS, seed);
            all += region.served(kind) / SEEDS.size();
            fifth += region.served(kind, 0.7, 0.9) / SEEDS.size();
            tenth += region.served(kind, 0.9, 1) / SEEDS.size();
        }
        String message =
                kind + " at " + hosts + " hosts: " + all + " served, fifth " + fifth + ", largest tenth " + tenth;
        assertTrue(tenth >= minFraction * all && fifth >= minFraction * all, message);
    }

    /** Guards against long answers that begin at once and end too late, as engines prefill prompts all the time. */
    @Test
    void shouldCompleteLongAnswersAsOftenAsOthersWhenEnginesAreBusy() {
        for (int hosts : HOSTS) {
            assertServedLikeOthers(hosts, StreamKind.QUERY, 0.85);
        }
    }

    /** Guards against the same where one host observes all streams, and a pause in prefill at once. */
    @Test
    void shouldCompleteLongAnswersAsOftenAsOthersWhenOneHostServesAll() {
        assertServedLikeOthers(1, StreamKind.QUERY, 0.75);
    }

    /** Guards against rejecting mainly the longest answers of the least urgent kind under overload. */
    @Test
    void shouldCompleteLongAnswersOfTheLeastUrgentKindWhenEnginesAreBusy() {
        assertServedLikeOthers(1, StreamKind.DRAFT, 0.5);
        for (int hosts : HOSTS) {
            assertServedLikeOthers(hosts, StreamKind.DRAFT, 0.5);
        }
    }
}
