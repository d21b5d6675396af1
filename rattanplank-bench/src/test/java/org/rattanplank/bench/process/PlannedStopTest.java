package org.rattanplank.bench.process;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.rattanplank.bench.outcome.CallLoad;
import org.rattanplank.bench.outcome.CallRecord;
import org.rattanplank.bench.outcome.OutcomeAudit;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallResult;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Graceful stops under load. */
class PlannedStopTest {
    private static final long BOUND_MILLIS = 60_000;
    private static final int CALLS_BETWEEN = 40;

    // Symptom: a draft ends half-way, or a booking's outcome is unknown, whenever a host is replaced. Sequence: each
    // host in turn is asked to stop while calls arrive. Cause: the process ends before its requests, or its claims,
    // have.
    @Test
    void shouldCutNoRequestWhenEachHostStopsInTurnUnderLoad() {
        try (Fleet fleet = Fleet.start(FleetOptions.of(Deployment.KORO));
                CallLoad load = new CallLoad(fleet, 11, Duration.ofSeconds(20), 6)) {
            for (Host host : fleet.hosts()) {
                int reached = load.endedCalls() + CALLS_BETWEEN;
                Poll.until("calls go on", BOUND_MILLIS, () -> load.endedCalls() >= reached);
                host.child().terminate();
                assertEquals(0, host.child().awaitEnd(), host.name());
                host.restart();
                fleet.awaitServing(BOUND_MILLIS);
            }
            List<CallRecord> records = load.finish();
            OutcomeAudit audit = OutcomeAudit.of(records, fleet.ledger());
            assertTrue(audit.isClean(), audit.toString());
            assertEquals(List.of(), cut(records));
        }
    }

    private static List<CallResult> cut(List<CallRecord> records) {
        return records.stream()
                .flatMap(record -> record.results().stream())
                .filter(result -> result.outcome() == CallOutcome.BROKEN || result.outcome() == CallOutcome.UNKNOWN)
                .toList();
    }
}
