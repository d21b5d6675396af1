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

/** Calls targets that lose, duplicate, mix up, truncate and withhold responses. */
class TargetFaultTest {
    /** The second for which a target that rejects a call wants nothing, and a margin. */
    private static final long REQUESTED_PAUSE_MILLIS = 1_500;

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

    // Guards against a booking that runs twice, or is reported as not run: the target runs it and resets the connection
    // instead of responding, which looks like a request that never arrived.
    @Test
    void shouldReportUnknownAndRunOnceWhenTargetLosesResponse() {
        configureFault("crew-desk", "lose-answer", 0);
        CallRequest booking = calls.newBooking();
        assertEquals(CallOutcome.UNKNOWN, calls.send(host, booking).outcome());
        assertEquals(CallOutcome.UNKNOWN, calls.send(host, booking).outcome());
        assertEquals(1, calls.settledRuns(booking));
    }

    // Guards against delivering the booking of another caller: the target mixes up responses and responds with the ID
    // of another request.
    @Test
    void shouldNotDeliverResponseWhenItHasAnotherRequestId() {
        configureFault("crew-desk", "wrong-id", 0);
        CallRequest booking = calls.newBooking();
        CallResult result = calls.send(host, booking);
        assertEquals(CallOutcome.UNKNOWN, result.outcome(), result.toString());
        assertFalse(result.body().contains("confirmation"));
        assertEquals(1, calls.settledRuns(booking));
    }

    // Guards against delivering the booking of the previous caller: the target responds twice on one connection, and
    // the second response is taken for that of the next request on the reused connection.
    @Test
    void shouldDeliverEachCallerItsOwnResponseWhenTargetRespondsTwice() {
        configureFault("crew-desk", "answer-twice", 0);
        for (int i = 0; i < 5; i++) {
            CallRequest booking = calls.newBooking();
            CallResult result = calls.send(host, booking);
            assertFalse(result.isWrongResponse(), result.toString());
            assertEquals(1, calls.settledRuns(booking));
        }
    }

    // Guards against a truncated response that looks complete: the target sends half of the body and resets the
    // connection, and the length is not checked before the first byte is sent to the caller.
    @Test
    void shouldNotDeliverTruncatedResponseWhenTargetTruncatesBody() {
        configureFault("crew-desk", "cut-body", 0);
        CallRequest booking = calls.newBooking();
        CallResult result = calls.send(host, booking);
        assertEquals(CallOutcome.UNKNOWN, result.outcome(), result.toString());
        assertEquals(1, calls.settledRuns(booking));
    }

    // Guards against a call that hangs until the caller times out: the target runs a booking and never responds, while
    // new connections to it work, as when a network device has dropped the state of the connection.
    @Test
    void shouldSettleBeforeDeadlineWhenTargetIsUnresponsive() {
        configureFault("crew-desk", "silent", 0);
        CallRequest booking = calls.newBooking();
        CallResult result = calls.send(host, booking);
        assertEquals(CallOutcome.UNKNOWN, result.outcome(), result.toString());
        assertEquals(1, calls.settledRuns(booking));
    }

    // Guards against a truncated stream: the network resets the connection after some stream events, while the engine
    // still has the stream and can resume it.
    @Test
    void shouldResumeStreamWhenItsConnectionIsReset() {
        configureFault("plank-serve", "cut-stream", 3);
        CallResult result = calls.send(host, calls.newDraft(30));
        assertEquals(CallOutcome.ANSWERED, result.outcome(), result.toString());
        assertTrue(result.matchesRequest(), result.body());
    }

    // Guards against a stream that hangs: after some stream events the open connection delivers nothing, while new
    // connections work, as when a network device has dropped the state of the connection.
    @Test
    void shouldResumeStreamWhenItsConnectionIsUnresponsive() {
        configureFault("plank-serve", "silent", 3);
        CallResult result = calls.send(host, calls.newDraft(30));
        assertEquals(CallOutcome.ANSWERED, result.outcome(), result.toString());
        assertTrue(result.matchesRequest(), result.body());
    }

    // Guards against a booking that is reported as not run although it ran. A rejection before the run is the only
    // response of a target that proves that nothing ran.
    @Test
    void shouldReportDefiniteOutcomeWhenTargetRejects() {
        configureFault("crew-desk", "refuse", 0);
        CallRequest booking = calls.newBooking();
        CallResult result = calls.send(host, booking);
        assertNotEquals(CallOutcome.UNKNOWN, result.outcome(), result.toString());
        assertEquals(result.outcome() == CallOutcome.ANSWERED ? 1 : 0, calls.settledRuns(booking));
        // No host sends the targets anything until then, which other tests would take for their own fault.
        Poll.pause(REQUESTED_PAUSE_MILLIS);
    }

    /** Configures the fault in all data centres, because the router may avoid a target that failed before. */
    private static void configureFault(String service, String fault, int afterEvents) {
        for (Site site : fleet.deployment().sites()) {
            fleet.configureTargetFaults(
                    site.dataCentre(),
                    Json.object()
                            .put("forget", true)
                            .put("service", service)
                            .put("fault", fault)
                            .put("afterParts", afterEvents));
        }
    }
}
