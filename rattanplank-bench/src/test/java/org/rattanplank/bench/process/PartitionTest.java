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

/** Serves callers in a data centre that is partitioned from all other data centres and from the platform. */
class PartitionTest {
    private static final long TIMEOUT_MILLIS = 60_000;
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
        fleet.awaitServing(TIMEOUT_MILLIS);
    }

    // Guards against serving or claiming that depends on anything outside the partition: callers in Labasa would get no
    // response, or their data would be served in another region. A key of Labasa is also retried at Suva meanwhile.
    @Test
    void shouldServeLocalCallersWhenLabasaIsPartitioned() {
        fleet.links().setStateOfLinksAround("labasa-hall", LinkState.partitioned());
        assertLocalCallersServed();
    }

    // Guards against the same failure where the links become unresponsive, so that connections hang instead of closing.
    @Test
    void shouldServeLocalCallersWhenLinksAroundLabasaBecomeUnresponsive() {
        fleet.links().setStateOfLinksAround("labasa-hall", LinkState.dropping());
        assertLocalCallersServed();
    }

    private void assertLocalCallersServed() {
        CallRequest booking = calls.newBooking();
        CallResult first = calls.send(fleet.host("labasa-1"), booking);
        assertEquals(CallOutcome.ANSWERED, first.outcome(), first.toString());
        CallRequest draft = calls.newDraft(10);
        assertTrue(calls.send(fleet.host("labasa-2"), draft).matchesRequest());

        CallResult elsewhere = calls.send(fleet.host("suva-1"), booking);
        assertNotEquals(CallOutcome.ANSWERED, elsewhere.outcome(), elsewhere.toString());
        CallResult retried = calls.send(fleet.host("labasa-2"), booking);
        assertEquals(first.body(), retried.body());
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
