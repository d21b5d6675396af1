package org.rattanplank.bench.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(60)
class GatewayFleetTest {
    private static final int HOST_COUNT = 4;
    private static final int MIN_ANSWERED_CALLS = 40;
    private static final long POLL_INTERVAL_MILLIS = 20;

    @BeforeAll
    static void allowHostHeader() {
        GatewayCostMeasurement.allowHostHeader();
    }

    @Test
    void shouldAnswerCallsWhenAllHostsHaveStarted() throws InterruptedException {
        try (GatewayFleet fleet = GatewayFleet.start(HOST_COUNT, 2);
                CallGenerator calls = CallGenerator.start(fleet.callerAddresses(), MIN_ANSWERED_CALLS)) {
            while (calls.answered() < MIN_ANSWERED_CALLS) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            }

            assertEquals(HOST_COUNT, fleet.callerAddresses().size());
            assertTrue(fleet.cpuNanos() > 0);
        }
    }
}
