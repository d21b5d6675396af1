package org.rattanplank.bench.outcome;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.rattanplank.bench.process.ClientAccount;
import org.rattanplank.bench.process.LedgerRun;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class OutcomeAuditTest {
    private static final ClientAccount CLIENT = new ClientAccount("labasa-floor", "labasa-hall", Set.of("labasa"));
    private static final CallRequest BOOKING = CallRequest.booking("b", "crew-desk", "key");

    @Test
    void shouldFindNothingWhenCallRanOnceAtHomeAndWasAnswered() {
        assertTrue(audit(List.of(result(CallOutcome.ANSWERED, true)), run("labasa"))
                .isClean());
    }

    @Test
    void shouldFindRunWhenCallWasReportedNotRun() {
        assertEquals(
                List.of("b"),
                audit(List.of(result(CallOutcome.NOT_RUN, false)), run("labasa"))
                        .notRunButRan());
    }

    @Test
    void shouldFindRunWhenOneOfSeveralAttemptsWasReportedNotRunAndRan() {
        List<CallResult> results = List.of(result(CallOutcome.BROKEN, false, ""), result(CallOutcome.NOT_RUN, false));
        assertEquals(List.of("b"), audit(results, run("labasa")).notRunButRan());
    }

    @Test
    void shouldAcceptNotRunWhenEarlierAttemptWasUnknown() {
        List<CallResult> results =
                List.of(result(CallOutcome.UNKNOWN, false), result(CallOutcome.NOT_RUN, false, "another"));
        assertTrue(audit(results, run("labasa")).isClean());
    }

    @Test
    void shouldFindSecondRunWhenKeyRanTwice() {
        assertEquals(
                List.of("b"),
                audit(List.of(result(CallOutcome.ANSWERED, true)), run("labasa"), run("labasa"))
                        .ranTwice());
    }

    @Test
    void shouldFindLostIncompleteAndMisplacedCallsWhenPresent() {
        List<CallResult> results = List.of(result(CallOutcome.LOST, false), result(CallOutcome.ANSWERED, false));
        OutcomeAudit audit = audit(results, run("suva"));
        assertEquals(List.of("b"), audit.lost());
        assertEquals(List.of("b"), audit.partialAsWhole());
        assertEquals(List.of("b"), audit.outsideResidency());
    }

    private static OutcomeAudit audit(List<CallResult> results, LedgerRun... runs) {
        return OutcomeAudit.of(List.of(new CallRecord(CLIENT, BOOKING, results)), List.of(runs));
    }

    private static CallResult result(CallOutcome outcome, boolean own) {
        return result(outcome, own, "r1");
    }

    private static CallResult result(CallOutcome outcome, boolean own, String requestId) {
        return new CallResult("b", requestId, outcome, 200, "", "", own, "", 0);
    }

    private static LedgerRun run(String region) {
        return new LedgerRun("t", region, "r1.1", "key", "b", "whole");
    }
}
