package org.rattanplank.core.claim;

import java.util.List;

import io.vavr.control.Option;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Searches for a second run of one key with two callers under crashes, pauses, partitions between any pair of hosts or
 * between a host and the store, lost and delayed store replies, and lost and reordered messages.
 */
class ClaimSearchTest {
    private static final List<String> HOSTS = List.of("a", "b", "c", "d");
    private static final long RECOVERY_SECONDS = 60;

    @ParameterizedTest
    @CsvSource({
        "1, 2, 0, 2, 10",
        "1, 2, 3000, 1, 20",
        "2, 2, 0, 2, 10",
        "2, 3, 0, 1, 12",
        "3, 3, 0, 1, 13",
        "4, 4, 0, 1, 11",
    })
    void shouldFindNoSecondRunWhenSurvivorIsRequired(
            int members, int hosts, long keyDelayMillis, int faults, int depth) {
        ClaimCluster cluster = cluster(TakeoverRule.SURVIVOR_REQUIRED, members);
        ClaimSearch search = new ClaimSearch(HOSTS.subList(0, hosts), cluster.nowMillis + keyDelayMillis);
        assertEquals(Option.none(), search.run(cluster, faults, depth));
        assertTrue(search.visitedStates > 1_000, "the search visited too few states");
    }

    @Test
    void shouldFindSecondRunWhenViewIsTakenOverFromUnreachableMembers() {
        // Symptom: one booking is made by two hosts that cannot reach each other.
        // Sequence: found by the search; the only member is partitioned from a new host, which takes the view over.
        // Cause: an unreachable member is considered terminated, but still reaches callers and targets.
        ClaimCluster cluster = cluster(TakeoverRule.ON_SILENCE, 1);
        ClaimSearch search = new ClaimSearch(HOSTS.subList(0, 2), cluster.nowMillis + 3_000);
        Option<List<String>> found = search.run(cluster, 1, 20);
        assertTrue(found.isDefined());
    }

    @Property(seed = "20261202", tries = 5_000, shrinking = ShrinkingMode.BOUNDED)
    void shouldRunOnceAndRecoverWhenMessagesAreLostDelayedOrReordered(
            @ForAll @IntRange(min = 1, max = 4) int members,
            @ForAll @IntRange(min = 2, max = 4) int hosts,
            @ForAll @IntRange(max = 4) int keyDelaySeconds,
            @ForAll @IntRange(max = 11) int faults,
            @ForAll @Size(min = 20, max = 300) List<@IntRange(max = 120) Integer> picks) {
        ClaimCluster cluster = cluster(TakeoverRule.SURVIVOR_REQUIRED, Math.min(members, hosts));
        long keyMillis = cluster.nowMillis + 1_000L * keyDelaySeconds;
        List<String> path = new ClaimSearch(HOSTS.subList(0, hosts), keyMillis).followPicks(cluster, picks, faults);
        cluster.repairAll();
        for (int i = 0; i < RECOVERY_SECONDS; i++) {
            cluster.nowMillis += 1_000;
            cluster.tick();
            cluster.deliverAll();
            cluster.stopLeftHosts();
        }
        assertTrue(cluster.executedRequestIds.size() < 2, () -> "ran twice after " + path);
        assertTrue(
                cluster.decisions.values().stream().allMatch(recorded -> recorded.size() == 1),
                () -> "two outcomes after " + path);
        assertTrue(
                cluster.liveHosts().stream()
                        .filter(host -> !cluster.isLeaving(host))
                        .allMatch(host -> cluster.claims(host).viewNumber() > 0),
                () -> "a host is still outside after " + path);
    }

    private static ClaimCluster cluster(TakeoverRule rule, int members) {
        ClaimCluster cluster = new ClaimCluster(rule, ClaimSearch.limits());
        HOSTS.subList(0, members).forEach(cluster::start);
        cluster.run(5_000);
        return cluster;
    }
}
