package org.rattanplank.core.gateway;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StopPlanTest {
    private static final StopPlan PLAN = StopPlan.within(8_000);
    private static final long LATE_MILLIS = StopPlan.ACCEPT_ALL_MILLIS + 1_000;

    @Test
    void shouldCloseAsSoonAsItsOwnRequestsEndWhenAnotherHostAcceptsWork() {
        assertEquals(0, PLAN.workMillis(0, OtherHosts.TAKE));
        assertTrue(PLAN.mayEnd(StopPlan.MIN_SERVE_MILLIS, OtherHosts.TAKE, false));
        assertFalse(PLAN.mayEnd(StopPlan.MIN_SERVE_MILLIS, OtherHosts.TAKE, true));
        assertTrue(PLAN.mayEnd(StopPlan.ACCEPT_ALL_MILLIS, OtherHosts.TAKE, true));
    }

    @Test
    void shouldContinueWhenItIsTheLastOfItsRegion() {
        assertTrue(PLAN.workMillis(LATE_MILLIS, OtherHosts.AWAY) > 0);
        assertFalse(PLAN.mayEnd(LATE_MILLIS, OtherHosts.AWAY, false));
        assertTrue(PLAN.mayEnd(PLAN.cutMillis(), OtherHosts.AWAY, false));
    }

    @Test
    void shouldCloseSoonWhenItsRegionHasNoOtherHost() {
        assertTrue(PLAN.mayEnd(StopPlan.MIN_SERVE_MILLIS, OtherHosts.NONE, false));
    }

    /**
     * Guards against a stream being closed before its end six seconds after its host began to shut down. The last host
     * of a region accepts a draft with 1.2 s left, as half a second is expected of it, and beside many prompts it takes
     * three; it comes about when an estimate is taken for an upper bound.
     */
    @Test
    void shouldAcceptOnlyRequestsThatDefinitelyEndWhenItIsLate() {
        long remainingMillis = PLAN.cutMillis() - LATE_MILLIS;
        assertTrue(PLAN.mayBegin(LATE_MILLIS, OtherHosts.AWAY, Option.some(remainingMillis / 2)));
        assertFalse(PLAN.mayBegin(LATE_MILLIS, OtherHosts.AWAY, Option.some(remainingMillis)));
        assertFalse(PLAN.mayBegin(LATE_MILLIS, OtherHosts.AWAY, Option.none()));
        assertFalse(PLAN.mayBegin(LATE_MILLIS, OtherHosts.TAKE, Option.some(1L)));
    }

    @Test
    void shouldRejectRequestsThatWouldExceedTheGraceWhenItHasJustBegunToStop() {
        assertTrue(PLAN.mayBegin(0, OtherHosts.TAKE, Option.none()));
        assertTrue(PLAN.mayBegin(0, OtherHosts.TAKE, Option.some(PLAN.cutMillis())));
        assertFalse(PLAN.mayBegin(0, OtherHosts.TAKE, Option.some(PLAN.cutMillis() + 1)));
    }

    @Test
    void shouldLeaveWorkToTheHostThatCanContinueLongerWhenTwoStop() {
        assertEquals(OtherHosts.TAKE, OtherHosts.of(true, false, 5_000, 3_000));
        assertEquals(OtherHosts.AWAY, OtherHosts.of(true, false, 3_000, 5_000));
        assertEquals(OtherHosts.NONE, OtherHosts.of(false, false, 0, 5_000));
    }

    @Test
    void shouldForgetMaximaWhenTheyAreOld() {
        LongestTimes durations = new LongestTimes();
        durations.took("draft", 4_000, 0);
        durations.took("draft", 1_000, LongestTimes.WINDOW_MILLIS);

        assertEquals(Option.some(4_000L), durations.longestMillis("draft", LongestTimes.WINDOW_MILLIS + 1));
        assertEquals(Option.some(1_000L), durations.longestMillis("draft", 2 * LongestTimes.WINDOW_MILLIS));
        assertEquals(Option.none(), durations.longestMillis("draft", 9 * LongestTimes.WINDOW_MILLIS));
        assertEquals(Option.none(), durations.longestMillis("query", 0));
    }
}
