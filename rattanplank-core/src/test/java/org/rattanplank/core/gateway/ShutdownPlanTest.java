package org.rattanplank.core.gateway;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ShutdownPlanTest {
    private static final ShutdownPlan PLAN = ShutdownPlan.within(8_000);
    private static final long LATE_MILLIS = ShutdownPlan.ACCEPT_ALL_MILLIS + 1_000;

    @Test
    void shouldCloseAsSoonAsItsOwnRequestsEndWhenAnotherHostAcceptsWork() {
        assertEquals(0, PLAN.acceptMillis(0, PeerAvailability.ACCEPTING));
        assertTrue(PLAN.mayClose(ShutdownPlan.MIN_SERVE_MILLIS, PeerAvailability.ACCEPTING, false));
        assertFalse(PLAN.mayClose(ShutdownPlan.MIN_SERVE_MILLIS, PeerAvailability.ACCEPTING, true));
        assertTrue(PLAN.mayClose(ShutdownPlan.ACCEPT_ALL_MILLIS, PeerAvailability.ACCEPTING, true));
    }

    @Test
    void shouldContinueWhenItIsTheLastOfItsRegion() {
        assertTrue(PLAN.acceptMillis(LATE_MILLIS, PeerAvailability.UNAVAILABLE) > 0);
        assertFalse(PLAN.mayClose(LATE_MILLIS, PeerAvailability.UNAVAILABLE, false));
        assertTrue(PLAN.mayClose(PLAN.closeMillis(), PeerAvailability.UNAVAILABLE, false));
    }

    @Test
    void shouldCloseSoonWhenItsRegionHasNoOtherHost() {
        assertTrue(PLAN.mayClose(ShutdownPlan.MIN_SERVE_MILLIS, PeerAvailability.NONE, false));
    }

    /**
     * Guards against a stream being closed before its end six seconds after its host began to shut down. The last host
     * of a region accepts a draft with 1.2 s left, as half a second is expected of it, and beside many prompts it takes
     * three; it comes about when an estimate is taken for an upper bound.
     */
    @Test
    void shouldAcceptOnlyRequestsThatDefinitelyEndWhenItIsLate() {
        long remainingMillis = PLAN.closeMillis() - LATE_MILLIS;
        assertTrue(PLAN.mayAccept(LATE_MILLIS, PeerAvailability.UNAVAILABLE, Option.some(remainingMillis / 2)));
        assertFalse(PLAN.mayAccept(LATE_MILLIS, PeerAvailability.UNAVAILABLE, Option.some(remainingMillis)));
        assertFalse(PLAN.mayAccept(LATE_MILLIS, PeerAvailability.UNAVAILABLE, Option.none()));
        assertFalse(PLAN.mayAccept(LATE_MILLIS, PeerAvailability.ACCEPTING, Option.some(1L)));
    }

    @Test
    void shouldRejectRequestsThatWouldExceedTheGraceWhenItHasJustBegunToStop() {
        assertTrue(PLAN.mayAccept(0, PeerAvailability.ACCEPTING, Option.none()));
        assertTrue(PLAN.mayAccept(0, PeerAvailability.ACCEPTING, Option.some(PLAN.closeMillis())));
        assertFalse(PLAN.mayAccept(0, PeerAvailability.ACCEPTING, Option.some(PLAN.closeMillis() + 1)));
    }

    @Test
    void shouldLeaveWorkToTheHostThatCanContinueLongerWhenTwoStop() {
        assertEquals(PeerAvailability.ACCEPTING, PeerAvailability.of(true, false, 5_000, 3_000));
        assertEquals(PeerAvailability.UNAVAILABLE, PeerAvailability.of(true, false, 3_000, 5_000));
        assertEquals(PeerAvailability.NONE, PeerAvailability.of(false, false, 0, 5_000));
    }

    @Test
    void shouldForgetMaximaWhenTheyAreOld() {
        MaxDurations durations = new MaxDurations();
        durations.record("draft", 4_000, 0);
        durations.record("draft", 1_000, MaxDurations.WINDOW_MILLIS);

        assertEquals(Option.some(4_000L), durations.maxMillis("draft", MaxDurations.WINDOW_MILLIS + 1));
        assertEquals(Option.some(1_000L), durations.maxMillis("draft", 2 * MaxDurations.WINDOW_MILLIS));
        assertEquals(Option.none(), durations.maxMillis("draft", 9 * MaxDurations.WINDOW_MILLIS));
        assertEquals(Option.none(), durations.maxMillis("query", 0));
    }
}
