package org.rattanplank.bench.process;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;
import org.rattanplank.standins.http.Json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Targets that lose, double, cross, cut and withhold answers. */
class TargetFaultTest {
    private static Fleet fleet;

    private final Calls calls = Calls.of(fleet, "suva-floor");
    private final Host host = fleet.host("suva-1");

    @BeforeAll
    static void start() {
        fleet = Fleet.start(FleetOptions.of(Deployment.KORO)
                .withHostSettings("--answer-overdue-millis", "500", "--part-overdue-millis", "500"));
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    // Symptom: an order is doubled, or a caller hears that it did not run. Sequence: the target runs a booking, then
    // resets the connection instead of answering. Cause: a lost answer looks like a call that never arrived.
    @Test
    void shouldSayUnknownAndRunOnceWhenTargetLosesAnswer() {
        plan("crew-desk", "lose-answer", 0);
        CallRequest booking = calls.newBooking();
        assertEquals(CallOutcome.UNKNOWN, calls.send(host, booking).outcome());
        assertEquals(CallOutcome.UNKNOWN, calls.send(host, booking).outcome());
        assertEquals(1, calls.settledRuns(booking));
    }

    // Symptom: a caller gets another caller's booking. Sequence: the target answers with another request's identifier.
    // Cause: answers crossed at the target.
    @Test
    void shouldNotPassOnAnswerWhenItNamesAnotherRequest() {
        plan("crew-desk", "wrong-id", 0);
        CallRequest booking = calls.newBooking();
        CallResult result = calls.send(host, booking);
        assertEquals(CallOutcome.UNKNOWN, result.outcome(), result.toString());
        assertFalse(result.body().contains("confirmation"));
        assertEquals(1, calls.settledRuns(booking));
    }

    // Symptom: the next caller gets the previous one's booking. Sequence: the target answers twice on one connection,
    // which is used again. Cause: the second answer is taken for that of the next request.
    @Test
    void shouldGiveEachCallerItsOwnAnswerWhenTargetAnswersTwice() {
        plan("crew-desk", "answer-twice", 0);
        for (int i = 0; i < 5; i++) {
            CallRequest booking = calls.newBooking();
            CallResult result = calls.send(host, booking);
            assertFalse(result.isWrongAnswer(), result.toString());
            assertEquals(1, calls.settledRuns(booking));
        }
    }

    // Symptom: a caller takes half an answer for the whole. Sequence: the target sends half of the body and resets the
    // connection. Cause: the length is not checked before the first byte goes to the caller.
    @Test
    void shouldNotPassOnHalfAnswerWhenTargetCutsBody() {
        plan("crew-desk", "cut-body", 0);
        CallRequest booking = calls.newBooking();
        CallResult result = calls.send(host, booking);
        assertEquals(CallOutcome.UNKNOWN, result.outcome(), result.toString());
        assertEquals(1, calls.settledRuns(booking));
    }

    // Symptom: a quote hangs until the caller gives up. Sequence: the target runs a booking and never answers, while
    // new
    // connections to it work. Cause: something in between has lost track of the connection.
    @Test
    void shouldSettleBeforeDeadlineWhenTargetGoesSilent() {
        plan("crew-desk", "silent", 0);
        CallRequest booking = calls.newBooking();
        CallResult result = calls.send(host, booking);
        assertEquals(CallOutcome.UNKNOWN, result.outcome(), result.toString());
        assertEquals(1, calls.settledRuns(booking));
    }

    // Symptom: a draft stops half-way. Sequence: the connection of a stream is reset after some parts. Cause: the
    // network; the engine still has the stream and can resume it.
    @Test
    void shouldResumeStreamWhenItsConnectionIsCut() {
        plan("plank-serve", "cut-stream", 3);
        CallResult result = calls.send(host, calls.newDraft(30));
        assertEquals(CallOutcome.ANSWERED, result.outcome(), result.toString());
        assertTrue(result.own(), result.body());
    }

    // Symptom: a draft hangs half-way. Sequence: after some parts nothing comes on the open connection, while new ones
    // work. Cause: something in between has lost track of the connection.
    @Test
    void shouldResumeStreamWhenItsConnectionGoesSilent() {
        plan("plank-serve", "silent", 3);
        CallResult result = calls.send(host, calls.newDraft(30));
        assertEquals(CallOutcome.ANSWERED, result.outcome(), result.toString());
        assertTrue(result.own(), result.body());
    }

    // Symptom: a caller hears that its booking did not run, and it did. Sequence: the target refuses a booking before
    // it
    // runs it. Cause: none; this is the one answer of a target that proves that nothing ran.
    @Test
    void shouldRunNothingWhenTargetRefuses() {
        plan("crew-desk", "refuse", 0);
        CallRequest booking = calls.newBooking();
        CallResult result = calls.send(host, booking);
        assertNotEquals(CallOutcome.UNKNOWN, result.outcome(), result.toString());
        assertEquals(result.outcome() == CallOutcome.ANSWERED ? 1 : 0, calls.settledRuns(booking));
    }

    /** Plans the fault in all data centres, as a target that failed before may be avoided. */
    private static void plan(String service, String fault, int afterParts) {
        for (Site site : fleet.deployment().sites()) {
            fleet.planTargetFaults(
                    site.dataCentre(),
                    Json.object()
                            .put("forget", true)
                            .put("service", service)
                            .put("fault", fault)
                            .put("afterParts", afterParts));
        }
    }
}
