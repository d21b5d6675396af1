package org.rattanplank.core.quarantine;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the quarantine with many hosts whose evidence differs. */
class CrashSimulationTest {
    private static final long MAX_LATER_SENDS = 3;

    private static CrashSimulation simulation(long seed) {
        return new CrashSimulation(seed).innocentTraffic(60);
    }

    private static void assertBounded(CrashSimulation simulation) {
        assertEquals(0, simulation.innocentRejected());
        assertTrue(
                simulation.sendsAfterThirdCrash().stream().allMatch(sends -> sends <= MAX_LATER_SENDS),
                () -> "later sends " + simulation.sendsAfterThirdCrash() + ", crashes " + simulation.crashes());
    }

    /** Guards against a request that goes on crashing engines through any of the hosts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldStopACrashingRequestWhenItIsSentToAnyHost(long seed) {
        assertBounded(simulation(seed).crashingRequest(5_000, 700).run());
    }

    /** Guards against two crashing requests that cover each other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldStopTwoCrashingRequestsWhenTheyAreSentAtTheSameTime(long seed) {
        assertBounded(simulation(seed)
                .crashingRequest(5_000, 700)
                .crashingRequest(5_200, 900)
                .run());
    }

    /** Guards against innocent requests that are refused on a day when engines crash by themselves. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldRefuseNoInnocentRequestWhenEnginesCrashByThemselves(long seed) {
        CrashSimulation simulation = simulation(seed);
        for (int i = 0; i < 10; i++) {
            simulation.crashEngines(2_000 + 3_500 * i, 5, i % 2 == 0 ? 0 : 250);
        }

        assertBounded(simulation.run());
    }

    /** Guards against a crashing request that hides among other crashes, restarts of hosts and cuts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 135, 140, 221, 229, 349, 433})
    void shouldStopACrashingRequestWhenHostsRestartAndAreCutOff(long seed) {
        CrashSimulation simulation = simulation(seed).crashingRequest(5_000, 700);
        for (int i = 0; i < 6; i++) {
            simulation
                    .crashEngines(4_000 + 5_000 * i, 2, 100)
                    .restartHost(6_000 + 5_000 * i)
                    .cutHost(5_500 + 5_000 * i, 1_500);
        }

        assertBounded(simulation.run());
    }
}
