package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.gateway.StoreFollowers.Candidate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StoreFollowersTest {
    private static final long SMALL_BYTES_PER_MILLI = 1_250;
    private static final long LARGE_BYTES_PER_MILLI = 25_000;

    private static List<Candidate> hosts(int count, int large, int answered) {
        List<Candidate> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(new Candidate(
                    "host-" + i, i < answered, i % count < large ? LARGE_BYTES_PER_MILLI : SMALL_BYTES_PER_MILLI));
        }
        return hosts;
    }

    /** Guards against hosts with small links that read and pass on large items while larger links are idle. */
    @Test
    void shouldChooseTheLargeLinksWhenThereAreEnough() {
        StoreFollowers followers = StoreFollowers.of(hosts(30, 4, 30));

        assertEquals(3, followerCount(followers, 30));
        for (int i = 4; i < 30; i++) {
            assertFalse(followers.follows("host-" + i));
        }
    }

    /** Guards against a region that learns nothing as its followers are those that the store turns away. */
    @Test
    void shouldChooseTheSmallLinksWhenTheStoreTurnsTheLargeOnesAway() {
        List<Candidate> hosts = new ArrayList<>(hosts(6, 0, 6));
        hosts.add(new Candidate("large", false, LARGE_BYTES_PER_MILLI));

        assertFalse(StoreFollowers.of(hosts).follows("large"));
    }

    @Test
    void shouldLetAllFollowWhenThereAreFewHosts() {
        assertEquals(3, followerCount(StoreFollowers.of(hosts(3, 0, 0)), 3));
    }

    /** Guards against what a follower tells growing with its region, and against hosts that nobody tells. */
    @Property(tries = 200)
    void shouldGiveEachOtherHostOneTellerWhenLinksAreAlike(@ForAll @IntRange(min = 1, max = 400) int count) {
        StoreFollowers followers = StoreFollowers.of(hosts(count, 0, count));

        Map<String, Integer> told = new HashMap<>();
        for (int i = 0; i < count; i++) {
            if (!followers.follows("host-" + i)) {
                String relay = followers.relayFor("host-" + i).get();
                assertTrue(followers.follows(relay));
                told.merge(relay, 1, Integer::sum);
            }
        }
        for (int each : told.values()) {
            assertTrue(each <= StoreFollowers.HOSTS_PER_FOLLOWER, "told by one: " + each);
        }
    }

    /** Guards against hosts that choose differently as they learnt of each other in another order. */
    @Property(tries = 100)
    void shouldChooseAlikeWhenHostsAreKnownInAnotherOrder(
            @ForAll @IntRange(min = 1, max = 60) int count, @ForAll long seed) {
        List<Candidate> hosts = hosts(count, count / 7, count - count / 5);
        List<Candidate> shuffled = new ArrayList<>(hosts);
        Collections.shuffle(shuffled, new Random(seed));
        StoreFollowers one = StoreFollowers.of(hosts);
        StoreFollowers other = StoreFollowers.of(shuffled);

        for (Candidate host : hosts) {
            assertEquals(one.follows(host.name()), other.follows(host.name()));
            assertEquals(one.relayFor(host.name()), other.relayFor(host.name()));
            assertEquals(one.turn(host.name()), other.turn(host.name()));
        }
    }

    private static int followerCount(StoreFollowers followers, int hosts) {
        int count = 0;
        for (int i = 0; i < hosts; i++) {
            count += followers.follows("host-" + i) ? 1 : 0;
        }
        return count;
    }
}
