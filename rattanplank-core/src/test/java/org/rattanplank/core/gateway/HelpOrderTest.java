package org.rattanplank.core.gateway;

import java.util.HashSet;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HelpOrderTest {
    /** What is on its way between two hosts of a region, with the time between two states. */
    private static final long TOLD_MILLIS = 600;

    /**
     * Symptom: a host that starts while the store is away serves nobody for seconds, though all others know everything.
     * Sequence: each of thirty hosts sees that it knows nothing and tells it all of the store. Cause: nobody left it to
     * another, and its link takes seconds for thirty copies.
     */
    @Property(tries = 100)
    void shouldLetTwoHostsAtMostTellAtOnceWhenManyCould(@ForAll @IntRange(min = 1, max = 90) int hosts) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < hosts; i++) {
            names.add("host-" + i);
        }
        names.add("new");

        Set<Long> turns = new HashSet<>();
        int early = 0;
        for (int i = 0; i < hosts; i++) {
            long waitMillis = HelpOrder.waitMillis(names, "host-" + i, "new");
            turns.add(waitMillis);
            early += waitMillis < TOLD_MILLIS ? 1 : 0;
        }

        assertEquals(hosts, turns.size());
        assertTrue(turns.contains(0L));
        assertTrue(early <= 2, "at once: " + early);
    }
}
