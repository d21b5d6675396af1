package org.rattanplank.core.session;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.Event;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RequestSessionTest {

    @Test
    void shouldServeInHomeRegionWhenItHasCapacity() {
        Session session = Koro.start();
        session.request("suva-1", Koro.draft(session, "r1", "suva"));
        assertEquals(List.of("plank-suva"), session.pendingTargets("r1"));
        session.end("r1", Koro.completed("steps"));
        assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r1"));
        session.transcript().assertMatches("serve-at-home");
    }

    /*
     * Guards against serving a request outside its residency: the home region has no target, and targets are scored
     * before residency is checked, or residency is checked only by the first host.
     */
    @Test
    void shouldRejectWhenResidencyAllowsNoRegionWithTargets() {
        Session session = Koro.start().listAsLeaving("plank-labasa").advance(4_000);
        session.request("labasa-1", Koro.draft(session, "r1", "labasa"));
        Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, session.onlyOutcome("r1"));
        assertEquals(Step.ROUTE, notRun.failure().step());
        assertTrue(notRun.retryAfterMillis() > 0);
    }

    @Test
    void shouldRejectAtReceivingHostWhenResidencyForbidsItsRegion() {
        Session session = Koro.start();
        Request forwarded = Koro.draft(session, "r1", "labasa").forwardedBy("labasa-1", false);
        session.handleEvent("suva-1", new Event.PeerRequestReceived("labasa-1", 1, forwarded));
        assertInstanceOf(Outcome.NotRun.class, session.onlyOutcome("r1"));
        assertEquals(List.of(), session.pendingTargets("r1"));
    }

    /*
     * Guards against forwarding loops. Suva has no targets and forwards the request to Lautoka, which has none either
     * and whose outdated view shows targets in Suva; a forwarded request must not be forwarded again.
     */
    @Test
    void shouldForwardAtMostOnceWhenRegionsHaveOppositeViews() {
        Session session = Koro.start();
        session.listAsLeaving("plank-lautoka").advance(4_000);
        Request forwarded = Koro.draft(session, "r1", "suva").forwardedBy("suva-1", false);
        session.handleEvent("lautoka-1", new Event.PeerRequestReceived("suva-1", 1, forwarded));
        assertInstanceOf(Outcome.NotRun.class, session.onlyOutcome("r1"));
    }

    @Test
    void shouldServeInOtherRegionWhenHomeHasNoTarget() {
        Session session = Koro.start().listAsLeaving("plank-suva").advance(4_000);
        session.request("suva-1", Koro.draft(session, "r1", "suva"));
        assertEquals(1, session.pendingTargets("r1").size());
        session.end("r1", Koro.completed("steps"));
        Outcome.Answered answered = assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r1"));
        assertEquals(3, answered.path().size(), () -> "path " + answered.path());
    }

    /*
     * Guards against delivering two answers, or the answer of an abandoned attempt. The first attempt is abandoned, the
     * retry answers, then the first answer arrives; results must be matched by request and attempt.
     */
    @Test
    void shouldDropLateAnswerWhenAttemptWasAbandoned() {
        Session session = Koro.start()
                .addTarget("plank-suva-2", "plank-serve", "suva", "suva-hall")
                .publishHostList();
        session.request("suva-1", Koro.draft(session, "r1", "suva"));
        session.end("r1", Koro.lost(session.pendingTargets("r1").get(0)));
        session.handleEvent("suva-1", new Event.AttemptEnded("r1", 1, Koro.completed("late")));
        assertEquals(List.of(), session.outcomes("r1"));
        session.end("r1", Koro.completed("second"));
        session.handleEvent("suva-1", new Event.AttemptEnded("r1", 1, Koro.completed("late")));
        Outcome.Answered answered = assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r1"));
        assertEquals(((AttemptResult.Completed) Koro.completed("second")).answer(), answered.answer());
        session.transcript().assertMatches("late-answer");
    }

    @Test
    void shouldResumeStreamAtNextEventWhenConnectionBreaks() {
        Session session = Koro.start();
        session.request("suva-1", Koro.draft(session, "r1", "suva"));
        session.handleEvent("suva-1", new Event.StreamProgressed("r1", 1, 5));
        session.end("r1", new AttemptResult.Lost(Failure.of(Step.RECEIVE, "plank-suva", "broke"), 5));
        assertEquals(List.of("plank-suva"), session.pendingTargets("r1"));
        session.end("r1", new AttemptResult.Lost(Failure.of(Step.RECEIVE, "plank-suva", "broke"), 6));
        assertInstanceOf(Outcome.Unknown.class, session.onlyOutcome("r1"));
        session.transcript().assertMatches("stream-broken-twice");
    }

    @Test
    void shouldEndAtOnceWhenDeadlinePasses() {
        Session session = Koro.start();
        session.request("suva-1", Koro.draft(session, "r1", "suva"));
        session.advance(Koro.TIMEOUT_MILLIS + Session.TICK_MILLIS);
        assertInstanceOf(Outcome.Unknown.class, session.onlyOutcome("r1"));
        assertEquals(List.of(), session.pendingTargets("r1"));
    }

    @Test
    void shouldCancelAtTargetWhenCallerLeaves() {
        Session session = Koro.start();
        session.request("suva-1", Koro.draft(session, "r1", "suva"));
        session.handleEvent("suva-1", new Event.RequesterLeft("r1"));
        assertEquals(List.of(), session.pendingTargets("r1"));
        assertEquals(0, session.node("suva-1").status().inFlight());
        session.transcript().assertMatches("cancelled");
    }

    /*
     * Guards against reporting "not run" for a request that ran: the answer of the first attempt is lost, the retries
     * are rejected, and the outcome is judged by the last attempt alone.
     */
    @Test
    void shouldNotReportNotRunWhenEarlierAttemptMayHaveRun() {
        Session session = Koro.start()
                .addTarget("plank-suva-2", "plank-serve", "suva", "suva-hall")
                .publishHostList();
        session.request("suva-1", Koro.draft(session, "r1", "suva"));
        session.end("r1", Koro.lost(session.pendingTargets("r1").get(0)));
        session.end("r1", Koro.refused(session.pendingTargets("r1").get(0)));
        while (!session.pendingTargets("r1").isEmpty()) {
            session.end("r1", Koro.refused(session.pendingTargets("r1").get(0)));
        }
        assertInstanceOf(Outcome.Unknown.class, session.onlyOutcome("r1"));
    }

    /*
     * Guards against sending a request to a target of another service: requests for two services carry the same prefix
     * hashes, and prefix affinity ignores the service.
     */
    @Test
    void shouldChooseTargetOfOwnServiceWhenOtherServiceHadSamePrefix() {
        Session session = Koro.start();
        session.request("labasa-1", Koro.draft(session, "r1", "labasa"));
        session.end("r1", Koro.completed("steps"));
        session.request("labasa-1", Koro.booking(session, "r2", "labasa", Koro.KEY));
        assertEquals(List.of("desk-labasa"), session.pendingTargets("r2"));
    }
}
