package org.rattanplank.core.session;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.Event;
import org.rattanplank.core.limit.RetryBudget;
import org.rattanplank.core.request.Outcome;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the router's decisions over the course of a session. */
class RoutingSessionTest {
    private static final int REQUESTS = 24;

    @Test
    void shouldSpillOverAndReturnWhenHomeIsFullAndThenIdle() {
        Session session = Koro.start();
        recordRunTimes(session, "suva");
        session.transcript().clear();
        List<String> requestIds = sendRequests(session, "full", "suva", 32);
        assertTrue(
                requestIds.stream().anyMatch(id -> !isWaitingAt(session, id, "plank-suva")),
                "no request has left the region");
        assertTrue(
                requestIds.stream()
                                .filter(id -> isWaitingAt(session, id, "plank-suva"))
                                .count()
                        >= 8,
                "home has free slots");
        requestIds.forEach(id -> session.end(id, Koro.completed("steps")));
        session.advance(2_000);
        for (String id : sendRequests(session, "idle", "suva", 4)) {
            assertTrue(isWaitingAt(session, id, "plank-suva"), "an idle home keeps its work");
        }
        session.transcript().assertMatches("spill-and-return");
    }

    /*
     * Guards against overloading a restarted target. It stops answering load queries, becomes available again, and its
     * reports show it as idle; it must be readmitted gradually.
     */
    @Test
    void shouldReadmitTargetOneRequestAtATimeWhenItHadStoppedAnswering() {
        Session session = twoTargets("suva");
        session.transcript().clear();
        for (int missed = 0; missed < 3; missed++) {
            session.handleEvent("suva-1", new Event.LoadMissed("plank-suva"));
        }
        for (String id : sendRequests(session, "out", "suva", 4)) {
            assertTrue(isWaitingAt(session, id, "plank-suva-2"), "ejected");
        }
        session.advance(1_500);
        List<String> back = sendRequests(session, "back", "suva", 8);
        assertEquals(
                1,
                back.stream()
                        .filter(id -> isWaitingAt(session, id, "plank-suva"))
                        .count());
        session.transcript().assertMatches("ejection");
    }

    /*
     * Guards against a retry storm. Both targets reject every request; retries must be bounded over all requests, not
     * only per request.
     */
    @Test
    void shouldBoundAttemptsWhenBothTargetsRejectAllRequests() {
        Session session = twoTargets("labasa");
        session.transcript().clear();
        int attempts = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "storm-" + i;
            session.request("labasa-1", Koro.draft(session, id, "labasa"));
            while (!session.pendingTargets(id).isEmpty()) {
                attempts++;
                session.end(id, Koro.refused(session.pendingTargets(id).get(0)));
            }
            assertInstanceOf(Outcome.NotRun.class, session.onlyOutcome(id));
        }
        assertTrue(
                attempts <= REQUESTS * (1 + RetryBudget.RETRIES_PER_REQUEST) + RetryBudget.MAX_BURST_RETRIES,
                "attempts: " + attempts);
        session.transcript().assertMatches("retry-storm");
    }

    private static Session twoTargets(String region) {
        return Koro.start()
                .addTarget("plank-" + region + "-2", "plank-serve", region, region + "-hall")
                .publishHostList()
                .advance(5_000);
    }

    /** Lets the router record run times of four seconds. */
    private static void recordRunTimes(Session session, String region) {
        List<String> requestIds = sendRequests(session, "learn", region, 5);
        session.advance(4_000);
        requestIds.forEach(id -> session.end(id, Koro.completed("steps")));
    }

    private static List<String> sendRequests(Session session, String name, String region, int count) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = name + "-" + i;
            session.request(region + "-1", Koro.draft(session, id, region));
            ids.add(id);
        }
        return ids;
    }

    private static boolean isWaitingAt(Session session, String requestId, String target) {
        return session.pendingTargets(requestId).contains(target);
    }
}
