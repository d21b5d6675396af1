package org.rattanplank.core.gateway;

import java.util.HashSet;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CatchUpOrderTest {
    /**
     * Time until the other hosts know that a host has caught up: the transfer within a region and the interval between
     * two state reports.
     */
    private static final long REPORT_DELAY_MILLIS = 600;

    /**
     * Guards against a host that starts during a store outage serving no requests for seconds, though all others have the
     * store's contents. It comes about when each of thirty hosts sees that the host lacks them and sends all of them at
     * once: its link takes seconds for thirty copies.
     */
    @Property(tries = 100)
    void shouldLetAtMostTwoHostsSendAtOnceWhenManyCould(@ForAll @IntRange(min = 1, max = 90) int hosts) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < hosts; i++) {
            names.add("host-" + i);
        }
        names.add("new");

        Set<Long> delays = new HashSet<>();
        int simultaneous = 0;
        for (int i = 0; i < hosts; i++) {
            long delayMillis = CatchUpOrder.delayMillis(names, "host-" + i, "new");
            delays.add(delayMillis);
            simultaneous += delayMillis < REPORT_DELAY_MILLIS ? 1 : 0;
        }

        assertEquals(hosts, delays.size());
        assertTrue(delays.contains(0L));
        assertTrue(simultaneous <= 2, "simultaneous senders: " + simultaneous);
    }
}
