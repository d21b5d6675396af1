package org.rattanplank.bench.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(60)
class GatewayFleetTest {
    private static final int HOSTS = 4;
    private static final int ENOUGH_CALLS = 40;
    private static final long PAUSE_MILLIS = 20;

    @BeforeAll
    static void allowHostNames() {
        GatewayCostMeasurement.allowHostHeaders();
    }

    @Test
    void shouldAnswerCallsOfAllHostsWhenTheyKnowTheStore() throws InterruptedException {
        try (GatewayFleet fleet = GatewayFleet.start(HOSTS, 2);
                CallStream calls = CallStream.start(fleet.callerAddresses(), ENOUGH_CALLS)) {
            while (calls.answered() < ENOUGH_CALLS) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }

            assertEquals(HOSTS, fleet.callerAddresses().size());
            assertTrue(fleet.cpuNanos() > 0);
        }
    }
}
