package org.rattanplank.core.quarantine;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the quarantine of prompt parts with many hosts whose evidence differs. */
class PromptPartSimulationTest {
    private static final long MAX_LATER_SENDS = 3;
    private static final int DOCUMENTS = 8;

    /** Longer than a part that was answered stays free of suspicion. */
    private static final int RARE_INTERVAL_MILLIS = 2_500;

    private static CrashSimulation simulation(long seed, int hostsPerRegion) {
        return new CrashSimulation(seed, hostsPerRegion).promptTraffic(40, DOCUMENTS);
    }

    private static void assertBounded(CrashSimulation simulation) {
        assertEquals(0, simulation.innocentRejected());
        assertTrue(
                simulation.partSendsAfterFifthCrash() <= MAX_LATER_SENDS,
                () -> "later sends " + simulation.partSendsAfterFifthCrash() + ", crashes "
                        + simulation.crashesUnderPart());
    }

    /** Guards against a part that goes on crashing engines through any of the hosts, asked for often or seldom. */
    @ParameterizedTest
    @CsvSource({"1,1,100", "2,1,700", "3,3,100", "4,3,700", "5,3,4000", "6,30,100", "7,30,700", "8,30,4000"})
    void shouldStopACrashingPartWhenItIsSentToAnyHost(long seed, int hostsPerRegion, int meanIntervalMillis) {
        assertBounded(simulation(seed, hostsPerRegion)
                .crashingPart(5_000, meanIntervalMillis)
                .run());
    }

    /** Guards against a crashing part that hides among other crashes, restarts of hosts and cuts. */
    @ParameterizedTest
    @CsvSource({"1,1", "2,1", "3,3", "4,3", "5,3", "6,3", "7,30", "8,30"})
    void shouldStopACrashingPartWhenHostsRestartAndAreCutOff(long seed, int hostsPerRegion) {
        CrashSimulation simulation = simulation(seed, hostsPerRegion).crashingPart(5_000, 150);
        for (int i = 0; i < 6; i++) {
            simulation
                    .crashEngines(4_000 + 5_000 * i, 2, 100)
                    .restartHost(6_000 + 5_000 * i)
                    .cutHost(5_500 + 5_000 * i, 1_500);
        }

        assertBounded(simulation.run());
    }

    /** Guards against sound parts that are refused on a day when engines crash by themselves, asked for often or seldom. */
    @ParameterizedTest
    @CsvSource({"1,1", "2,1", "3,3", "4,3", "5,3", "6,3", "7,30", "8,30"})
    void shouldRefuseNoSoundPartWhenEnginesCrashByThemselves(long seed, int hostsPerRegion) {
        CrashSimulation often = simulation(seed, hostsPerRegion);
        CrashSimulation seldom =
                new CrashSimulation(seed, hostsPerRegion).promptTraffic(RARE_INTERVAL_MILLIS, DOCUMENTS);
        for (int i = 0; i < 10; i++) {
            often.crashEngines(2_000 + 3_500 * i, 5, i % 2 == 0 ? 0 : 250);
            seldom.crashEngines(2_000 + 3_500 * i, 5, i % 2 == 0 ? 0 : 250);
        }

        assertBounded(often.run());
        assertBounded(seldom.run());
    }

    /** Guards against parts that are blamed for the crashes of one request which is sent again and again. */
    @ParameterizedTest
    @CsvSource({"1,1", "2,1", "3,3", "4,3", "5,3", "6,3", "7,30", "8,30"})
    void shouldRefuseNoSoundPartWhenARequestCrashesEngines(long seed, int hostsPerRegion) {
        assertBounded(
                simulation(seed, hostsPerRegion).crashingRequest(5_000, 700).run());
    }
}
