package org.rattanplank.bench.process;

import org.junit.jupiter.api.Test;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Sends calls end to end through separate processes. */
class EndToEndTest {
    @Test
    void shouldRunOnceAndRespondCompletelyWhenNothingFails() {
        try (Fleet fleet = Fleet.start(FleetOptions.of(Deployment.BRAZOS))) {
            Calls calls = Calls.of(fleet, "hou-brokers");
            CallResult draft = calls.send(fleet.host("hou-1"), calls.newDraft(20));
            assertEquals(CallOutcome.ANSWERED, draft.outcome(), draft.toString());
            assertTrue(draft.matchesRequest(), draft.body());

            CallRequest quote = calls.newBooking();
            CallResult first = calls.send(fleet.host("hou-1"), quote);
            CallResult retried = calls.send(fleet.host("hou-2"), quote);
            assertEquals(CallOutcome.ANSWERED, first.outcome(), first.toString());
            assertTrue(first.matchesRequest(), first.body());
            assertEquals(first.body(), retried.body());
            assertEquals(1, calls.settledRuns(quote));
        }
    }
}
