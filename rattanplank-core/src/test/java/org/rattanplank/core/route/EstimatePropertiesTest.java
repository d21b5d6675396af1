package org.rattanplank.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Compares the estimates of a target's load and prefix cache with the actual state. */
class EstimatePropertiesTest {

    /** With a single sending host the estimate equals the actual load, however late the reports arrive. */
    @Property(tries = 200, seed = "42")
    void shouldEqualActualLoadWhenOnlyThisHostSends(@ForAll Random random) {
        LoadEstimate estimate = new LoadEstimate();
        List<Integer> loadsByTime = new ArrayList<>();
        int load = 0;
        for (int now = 0; now < 200; now++) {
            if (random.nextBoolean()) {
                estimate.recordStart(1, now);
                load++;
            } else if (load > 0) {
                estimate.recordEnd(now);
                load--;
            }
            loadsByTime.add(load);
            if (random.nextInt(5) == 0) {
                int reportedAt = Math.max(0, now - random.nextInt(40));
                estimate.recordReport(loadsByTime.get(reportedAt), reportedAt);
            }
            assertEquals(load, estimate.load());
        }
    }

    @Property(tries = 100, seed = "42")
    void shouldStayWithinBoundsWhenAnythingIsCached(@ForAll Random random) {
        PrefixCacheEstimate cache = new PrefixCacheEstimate();
        cache.limitTokens(5_000);
        for (int i = 0; i < 2_000; i++) {
            if (random.nextInt(3) == 0) {
                List<Long> stored = List.of((long) random.nextInt(3_000));
                List<Long> removed = List.of((long) random.nextInt(3_000));
                cache.applyEvent(new CacheEvent("t", i + random.nextInt(3), stored, removed));
            } else {
                cache.recordPrompt(
                        List.of((long) random.nextInt(50), (long) random.nextInt(3_000)), random.nextInt(200));
            }
            assertTrue(cache.tokens() >= 0 && cache.tokens() <= 5_000);
            assertTrue(cache.prefixCount() <= PrefixCacheEstimate.MAX_PREFIXES);
        }
    }

    @Example
    void shouldReduceConfidenceWhenEventsAreMissing() {
        PrefixCacheEstimate cache = new PrefixCacheEstimate();
        cache.recordPrompt(List.of(1L, 2L), 1_000);
        assertEquals(1_000, cache.cachedTokens(List.of(1L, 2L), 1_000));
        cache.applyEvent(new CacheEvent("t", 1, List.of(), List.of()));
        cache.applyEvent(new CacheEvent("t", 5, List.of(), List.of()));
        assertEquals(500, cache.cachedTokens(List.of(1L, 2L), 1_000));
        cache.applyEvent(new CacheEvent("t", 6, List.of(), List.of(2L)));
        assertTrue(cache.cachedTokens(List.of(1L, 2L), 1_000) < 500, "a removed prefix is not cached");
    }

    @Example
    void shouldResetEstimateWhenEventNumbersRestart() {
        PrefixCacheEstimate cache = new PrefixCacheEstimate();
        cache.recordPrompt(List.of(1L, 2L), 1_000);
        cache.applyEvent(new CacheEvent("t", 50, List.of(), List.of()));
        cache.applyEvent(new CacheEvent("t", 1, List.of(1L), List.of()));
        assertEquals(500, cache.cachedTokens(List.of(1L, 2L), 1_000));
    }

    @Example
    void shouldBoundPrefixesWhenAllAreNew() {
        PrefixAffinity affinity = new PrefixAffinity();
        Target target = Target.warm("t", "plank-serve", 0);
        for (long i = 0; i < 2L * PrefixAffinity.MAX_PREFIXES; i++) {
            affinity.recordPrompt(List.of(i), target);
        }
        assertEquals(PrefixAffinity.MAX_PREFIXES, affinity.prefixCount());
    }

    /** When a target leaves, only the prefixes assigned to it move to other targets. */
    @Property(tries = 50, seed = "42")
    void shouldMoveOnlyItsPrefixesWhenTargetLeaves(@ForAll long key) {
        Target[] targets = new Target[10];
        long[] seeds = new long[10];
        for (int i = 0; i < 10; i++) {
            targets[i] = Target.warm("t" + i, "plank-serve", 0);
            seeds[i] = targets[i].seed;
        }
        List<Target> all = PrefixAffinity.firstTwo(targets, seeds, key, target -> true);
        List<Target> without = PrefixAffinity.firstTwo(targets, seeds, key, target -> target != all.get(0));
        assertEquals(all.get(1), without.get(0));
        Target other = targets[0] == all.get(0) ? targets[1] : targets[0];
        assertEquals(
                all.get(0),
                PrefixAffinity.firstTwo(targets, seeds, key, target -> target != other)
                        .get(0));
    }
}
