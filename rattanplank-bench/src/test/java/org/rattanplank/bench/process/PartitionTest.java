package org.rattanplank.bench.process;

import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;
import org.rattanplank.standins.link.LinkState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Labasa alone: cut from all others and from the platform. */
class PartitionTest {
    private static final long BOUND_MILLIS = 60_000;
    private static Fleet fleet;

    private final Calls calls = Calls.of(fleet, "labasa-floor");

    @BeforeAll
    static void start() {
        fleet = Fleet.start(FleetOptions.of(Deployment.KORO));
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @BeforeEach
    void heal() {
        fleet.links().heal();
        fleet.awaitServing(BOUND_MILLIS);
    }

    // Symptom: a filler line in Labasa stands still, or its logs are served elsewhere. Sequence: Labasa is cut from all
    // others and from the platform; its fitters call on, and one repeats a key at Suva. Cause: serving, or claiming,
    // depends on something beyond the partition.
    @Test
    void shouldServeItsOwnCallersWhenLabasaIsCutOff() {
        fleet.links().around("labasa-hall", LinkState.cutOff());
        answerOwnCallers();
    }

    // Symptom: as above, but connections hang instead of breaking. Sequence: as above with silent links. Cause: as
    // above.
    @Test
    void shouldServeItsOwnCallersWhenLinksAroundLabasaGoSilent() {
        fleet.links().around("labasa-hall", LinkState.silent());
        answerOwnCallers();
    }

    private void answerOwnCallers() {
        CallRequest booking = calls.newBooking();
        CallResult first = calls.send(fleet.host("labasa-1"), booking);
        assertEquals(CallOutcome.ANSWERED, first.outcome(), first.toString());
        CallRequest draft = calls.newDraft(10);
        assertTrue(calls.send(fleet.host("labasa-2"), draft).own());

        CallResult elsewhere = calls.send(fleet.host("suva-1"), booking);
        assertNotEquals(CallOutcome.ANSWERED, elsewhere.outcome(), elsewhere.toString());
        CallResult again = calls.send(fleet.host("labasa-2"), booking);
        assertEquals(first.body(), again.body());
        assertEquals(1, calls.settledRuns(booking));
        assertEquals(Set.of("labasa"), regions(booking, draft));
    }

    private static Set<String> regions(CallRequest... requests) {
        Set<String> references =
                Set.of(requests).stream().map(CallRequest::reference).collect(Collectors.toSet());
        return fleet.ledger().stream()
                .filter(run -> references.contains(run.reference()))
                .map(LedgerRun::region)
                .collect(Collectors.toSet());
    }
}
