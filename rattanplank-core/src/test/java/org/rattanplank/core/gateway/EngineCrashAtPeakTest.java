package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the load on a region of which a fifth of the engines crash at the peak. */
class EngineCrashAtPeakTest {
    private static final List<Integer> HOSTS = List.of(1, 6, 30);
    private static final int ENGINES = 15;
    private static final int SECONDS = 14;
    private static final double PEAK = 1.0;

    private static SimulatedRegion simulate(int hosts, long seed, Mechanisms mechanisms) {
        return SimulatedRegion.of(hosts, ENGINES, seed, mechanisms)
                .crashAfter(SECONDS * 500, ENGINES / 5)
                .run(PEAK, SECONDS);
    }

    /** Guards against streams that are cut in the middle because they must not run again elsewhere. */
    @Test
    void shouldCompleteInterruptedStreamsWhenTheirEnginesCrash() {
        for (int hosts : HOSTS) {
            SimulatedRegion region = simulate(hosts, hosts, Mechanisms.ALL);

            double served = region.servedOfInterrupted(StreamKind.QUERY);
            assertTrue(served >= 0.8, hosts + " hosts: " + served + " of interrupted queries served");
        }
    }

    /** Guards against backups that take the memory and time of the requests that engines run. */
    @Test
    void shouldServeAsManyOthersWhenStreamsHaveBackups() {
        SimulatedRegion regionWith = simulate(6, 1, Mechanisms.ALL);
        SimulatedRegion regionWithout = simulate(6, 1, new Mechanisms(Set.of(Mechanism.BACK_UP_STREAMS)));
        for (StreamKind kind : StreamKind.values()) {
            double withBackups = regionWith.served(kind);
            double withoutBackups = regionWithout.served(kind);

            assertTrue(withBackups >= withoutBackups - 0.03, kind + ": " + withBackups + " < " + withoutBackups);
        }
    }

    /** Guards against memory that stays reserved for streams that have ended. */
    @Test
    void shouldReserveNothingWhenAllStreamsHaveEnded() {
        assertEquals(0, simulate(6, 2, Mechanisms.ALL).reservedTokens());
    }
}
