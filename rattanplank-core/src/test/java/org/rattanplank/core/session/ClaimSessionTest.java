package org.rattanplank.core.session;

import java.util.List;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.Event;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Step;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClaimSessionTest {

    @Test
    void shouldHoldEachDataCentresHostsInOneViewWhenStarted() {
        Session session = Koro.startWithTranscript();
        for (String host : List.of("suva-1", "suva-2", "lautoka-1", "lautoka-2", "labasa-1", "labasa-2")) {
            assertEquals(2, session.node(host).status().viewNumber(), host);
        }
        session.transcript().assertMatches("views-formed");
    }

    /*
     * Symptom: a caller is told "not run", repeats, and finds two bookings. Sequence: the connection to the target
     * breaks after the booking was sent; the host reports the broken connection as a refusal. Cause: a lost answer taken
     * for proof that nothing ran.
     */
    @Test
    void shouldEndUnknownWhenAnswerOfBookingIsLost() {
        Session session = Koro.start();
        session.request("suva-1", Koro.booking(session, "r1", "suva", Koro.KEY));
        session.end("r1", Koro.lost("desk-suva"));
        assertInstanceOf(Outcome.Unknown.class, session.onlyOutcome("r1"));
        session.request("suva-1", Koro.booking(session, "r2", "suva", Koro.KEY));
        assertInstanceOf(Outcome.Unknown.class, session.onlyOutcome("r2"));
        assertEquals(List.of(), session.pendingTargets("r2"));
    }

    @Test
    void shouldKeepAnswerWhenBookingIsRepeatedAtOtherHost() {
        Session session = Koro.start();
        session.request("suva-1", Koro.booking(session, "r1", "suva", Koro.KEY));
        session.end("r1", Koro.whole("seal 7"));
        session.request("suva-2", Koro.booking(session, "r2", "suva", Koro.KEY));
        Outcome.Answered first = assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r1"));
        Outcome.Answered second = assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r2"));
        assertEquals(first.answer(), second.answer());
        session.transcript().assertMatches("booking-repeated");
    }

    @Test
    void shouldJoinRunningBookingWhenRepeatedBeforeItsEnd() {
        Session session = Koro.start();
        session.request("suva-1", Koro.booking(session, "r1", "suva", Koro.KEY));
        session.request("suva-2", Koro.booking(session, "r2", "suva", Koro.KEY));
        assertEquals(List.of(), session.pendingTargets("r2"));
        session.end("r1", Koro.whole("seal 7"));
        assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r1"));
        assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r2"));
    }

    /*
     * Symptom: a joined caller is told "not run" although the call that it joined runs. Sequence: a key is repeated
     * while its first call runs; the second caller's deadline passes first. Cause: a request without an attempt of its
     * own taken for one that did not run.
     */
    @Test
    void shouldNotSayNotRunWhenDeadlineOfJoinedCallerPasses() {
        Session session = Koro.start();
        session.request("suva-1", Koro.booking(session, "r1", "suva", Koro.KEY));
        session.request("suva-2", Koro.booking(session, "r2", "suva", Koro.KEY));
        session.advance(Koro.TIMEOUT_MILLIS + Session.TICK_MILLIS);
        assertInstanceOf(Outcome.Unknown.class, session.onlyOutcome("r2"));
    }

    @Test
    void shouldRunBookingAtHomeDataCentreWhenAskedElsewhere() {
        Session session = Koro.start();
        session.request("lautoka-1", Koro.booking(session, "r1", "suva", Koro.KEY));
        assertEquals(List.of("desk-suva"), session.pendingTargets("r1"));
        session.end("r1", Koro.whole("seal 7"));
        assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r1"));
    }

    @Test
    void shouldTryOtherHomeHostWhenTheFirstIsLeaving() {
        Session session = Koro.start();
        session.request("suva-1", Koro.draft(session, "r0", "suva"));
        session.handleEvent("suva-1", new Event.DrainAsked());
        session.request("lautoka-1", Koro.booking(session, "r1", "suva", Koro.KEY));
        assertEquals(List.of("desk-suva"), session.pendingTargets("r1"));
        session.end("r1", Koro.whole("seal 7"));
        assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r1"));
    }

    @Test
    void shouldTellWhenToComeBackWhenHomeOfKeyIsCutOff() {
        Session session = Koro.start();
        for (String away : List.of("suva-1", "suva-2")) {
            session.partition("lautoka-1", away).partition("lautoka-2", away);
        }
        session.request("lautoka-1", Koro.booking(session, "r1", "suva", Koro.KEY));
        Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, session.onlyOutcome("r1"));
        assertTrue(notRun.retryAfterMillis() > 0);
    }

    /*
     * Symptom: a booking runs although its caller was told otherwise, or its answer is lost for good. Sequence: the
     * caller's deadline passes while the booking runs, the answer comes later, the caller repeats its key. Cause: the
     * claimed call is cancelled, or its late answer dropped.
     */
    @Test
    void shouldKeepLateAnswerWhenCallerOfBookingHasGone() {
        Session session = Koro.start();
        session.request("suva-1", Koro.booking(session, "r1", "suva", Koro.KEY));
        session.advance(Koro.TIMEOUT_MILLIS + Session.TICK_MILLIS);
        assertInstanceOf(Outcome.Unknown.class, session.onlyOutcome("r1"));
        session.end("r1", Koro.whole("seal 7"));
        session.request("suva-1", Koro.booking(session, "r2", "suva", Koro.KEY));
        assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r2"));
        session.transcript().assertMatches("booking-past-deadline");
    }

    /*
     * Symptom: a fitter gets the same seals twice. Sequence: the host that took the booking is killed after the booking
     * went to the target; the caller repeats its key at the other host. Cause: the claim was known to one host only.
     */
    @Test
    void shouldRunBookingOnceWhenHostIsKilledAfterItsClaim() {
        Session session = Koro.start();
        session.request("suva-1", Koro.booking(session, "r1", "suva", Koro.KEY));
        assertEquals(List.of("desk-suva"), session.pendingTargets("r1"));
        session.kill("suva-1").advance(10_000);
        session.request("suva-2", Koro.booking(session, "r2", "suva", Koro.KEY));
        assertInstanceOf(Outcome.Unknown.class, session.onlyOutcome("r2"));
        assertEquals(List.of(), session.pendingTargets("r2"));
        session.transcript().assertMatches("booking-host-killed");
    }

    /*
     * Symptom: a fitter waits for the whole deadline to learn that nobody knows about a booking. Sequence: the store is
     * out; the host that runs a booking is killed; the key is repeated at the other host, which holds the claim. Cause:
     * the repeat waits for the end of a call whose host cannot leave the view while the store is out.
     */
    @Test
    void shouldSayUnknownSoonWhenStoreIsOutAndRunnerIsLost() {
        Session session = Koro.start();
        session.setStoreDown(true);
        session.request("suva-1", Koro.booking(session, "r1", "suva", Koro.KEY));
        session.kill("suva-1").advance(3_000);
        session.request("suva-2", Koro.booking(session, "r2", "suva", Koro.KEY));
        session.advance(5_000);
        assertInstanceOf(Outcome.Unknown.class, session.onlyOutcome("r2"));
        assertEquals(List.of(), session.pendingTargets("r2"));
    }

    /*
     * Symptom: a booking that is repeated the next day runs again. Sequence: the key carries no time; its claim is
     * forgotten when the retention has passed; the key comes again. Cause: nothing tells an old key without a time from
     * a new one.
     */
    @Test
    void shouldRefuseKeyOfBookingWhenItCarriesNoTime() {
        Session session = Koro.start();
        session.request("suva-1", Koro.booking(session, "r1", "suva", "order-17"));
        Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, session.onlyOutcome("r1"));
        assertEquals(Step.ACCEPT, notRun.failure().step());
        assertEquals(List.of(), session.pendingTargets("r1"));
    }

    /*
     * Symptom: the same booking runs in Labasa and in Suva. Sequence: Labasa is cut from all others and from the
     * platform; its caller books there, walks away and repeats the key at Suva. Cause: Suva takes the key over because
     * Labasa is silent.
     */
    @Test
    void shouldServeItsOwnCallersWhenDataCentreIsCutOff() {
        Session session = Koro.start().partitionFromStore("labasa-1").partitionFromStore("labasa-2");
        for (String away : List.of("suva-1", "suva-2", "lautoka-1", "lautoka-2")) {
            session.partition("labasa-1", away).partition("labasa-2", away);
        }
        session.advance(30_000);
        session.request("labasa-1", Koro.draft(session, "r1", "labasa"));
        session.end("r1", Koro.whole("steps"));
        assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r1"));
        session.request("labasa-1", Koro.booking(session, "r2", "labasa", Koro.KEY));
        assertEquals(List.of("desk-labasa"), session.pendingTargets("r2"));
        session.request("suva-1", Koro.booking(session, "r3", "labasa", Koro.KEY));
        assertInstanceOf(Outcome.NotRun.class, session.onlyOutcome("r3"));
        session.end("r2", Koro.whole("seal 7"));
        assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r2"));
        session.transcript().assertMatches("labasa-cut-off");
    }

    /*
     * Symptom: a planned stop cuts off answers. Sequence: the host is told to stop while a draft and a booking run.
     * Cause: the process ends, or leaves its claims, before its last request has its outcome.
     */
    @Test
    void shouldFinishRequestsBeforeStoppingWhenDrained() {
        Session session = Koro.start();
        session.request("suva-1", Koro.draft(session, "r1", "suva"));
        session.request("suva-1", Koro.booking(session, "r2", "suva", Koro.KEY));
        session.handleEvent("suva-1", new Event.DrainAsked()).advance(5_000);
        session.request("suva-1", Koro.draft(session, "r3", "suva"));
        assertInstanceOf(Outcome.NotRun.class, session.onlyOutcome("r3"));
        session.end("r1", Koro.whole("steps")).end("r2", Koro.whole("seal 7")).advance(5_000);
        assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r1"));
        assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r2"));
        assertTrue(Option.of(session.node("suva-1")).isEmpty(), "the host has stopped");
        session.request("suva-2", Koro.booking(session, "r4", "suva", Koro.KEY));
        assertInstanceOf(Outcome.Answered.class, session.onlyOutcome("r4"));
    }
}
