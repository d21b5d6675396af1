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

/** Stops entry hosts gracefully under load. */
class PlannedStopTest {
    private static final long TIMEOUT_MILLIS = 60_000;
    private static final int CALLS_BETWEEN_STOPS = 40;

    // Guards against truncated drafts and unknown outcomes of bookings when a host is replaced: each host in turn is
    // stopped while calls arrive, and its process would exit before its requests and claims are finished.
    @Test
    void shouldInterruptNoRequestWhenEachHostStopsInTurnUnderLoad() {
        try (Fleet fleet = Fleet.start(FleetOptions.of(Deployment.KORO));
                CallLoad load = new CallLoad(fleet, 11, Duration.ofSeconds(20), 6)) {
            for (Host host : fleet.hosts()) {
                int requiredCalls = load.endedCalls() + CALLS_BETWEEN_STOPS;
                Poll.until("calls are still completed", TIMEOUT_MILLIS, () -> load.endedCalls() >= requiredCalls);
                host.process().terminate();
                assertEquals(0, host.process().awaitExit(), host.name());
                host.restart();
                fleet.awaitServing(TIMEOUT_MILLIS);
            }
            List<CallRecord> records = load.finish();
            OutcomeAudit audit = OutcomeAudit.of(records, fleet.ledger());
            assertTrue(audit.isClean(), audit.toString());
            assertEquals(List.of(), interrupted(records));
        }
    }

    private static List<CallResult> interrupted(List<CallRecord> records) {
        return records.stream()
                .flatMap(record -> record.results().stream())
                .filter(result -> result.outcome() == CallOutcome.BROKEN || result.outcome() == CallOutcome.UNKNOWN)
                .toList();
    }
}
