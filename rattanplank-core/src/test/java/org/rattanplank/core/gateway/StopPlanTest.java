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
    void shouldEndAsSoonAsItsOwnRequestsWhenAnotherHostTakesWork() {
        assertEquals(0, PLAN.workMillis(0, OtherHosts.TAKE));
        assertTrue(PLAN.mayEnd(StopPlan.MIN_SERVE_MILLIS, OtherHosts.TAKE, false));
        assertFalse(PLAN.mayEnd(StopPlan.MIN_SERVE_MILLIS, OtherHosts.TAKE, true));
        assertTrue(PLAN.mayEnd(StopPlan.ACCEPT_ALL_MILLIS, OtherHosts.TAKE, true));
    }

    @Test
    void shouldGoOnWhenItIsTheLastOfItsRegion() {
        assertTrue(PLAN.workMillis(LATE_MILLIS, OtherHosts.AWAY) > 0);
        assertFalse(PLAN.mayEnd(LATE_MILLIS, OtherHosts.AWAY, false));
        assertTrue(PLAN.mayEnd(PLAN.cutMillis(), OtherHosts.AWAY, false));
    }

    @Test
    void shouldEndSoonWhenItsRegionHasNoOtherHost() {
        assertTrue(PLAN.mayEnd(StopPlan.MIN_SERVE_MILLIS, OtherHosts.NONE, false));
    }

    /**
     * Symptom: a draft is cut six seconds after its host was told to stop. Sequence: the last host of a region takes a
     * draft with 1.2 s left, as half a second is expected of it; beside many prompts it takes three. Cause: an estimate
     * was taken for a bound.
     */
    @Test
    void shouldBeginOnlyWhatSurelyEndsWhenItIsLate() {
        long leftMillis = PLAN.cutMillis() - LATE_MILLIS;
        assertTrue(PLAN.mayBegin(LATE_MILLIS, OtherHosts.AWAY, Option.some(leftMillis / 2)));
        assertFalse(PLAN.mayBegin(LATE_MILLIS, OtherHosts.AWAY, Option.some(leftMillis)));
        assertFalse(PLAN.mayBegin(LATE_MILLIS, OtherHosts.AWAY, Option.none()));
        assertFalse(PLAN.mayBegin(LATE_MILLIS, OtherHosts.TAKE, Option.some(1L)));
    }

    @Test
    void shouldRefuseAtOnceWhatWouldBeCutWhenItHasJustBegunToStop() {
        assertTrue(PLAN.mayBegin(0, OtherHosts.TAKE, Option.none()));
        assertTrue(PLAN.mayBegin(0, OtherHosts.TAKE, Option.some(PLAN.cutMillis())));
        assertFalse(PLAN.mayBegin(0, OtherHosts.TAKE, Option.some(PLAN.cutMillis() + 1)));
    }

    @Test
    void shouldLeaveTheWorkToTheHostThatCanGoOnLongerWhenTwoStop() {
        assertEquals(OtherHosts.TAKE, OtherHosts.of(true, false, 5_000, 3_000));
        assertEquals(OtherHosts.AWAY, OtherHosts.of(true, false, 3_000, 5_000));
        assertEquals(OtherHosts.NONE, OtherHosts.of(false, false, 0, 5_000));
    }

    @Test
    void shouldForgetLongTimesWhenTheyAreOld() {
        LongestTimes times = new LongestTimes();
        times.took("draft", 4_000, 0);
        times.took("draft", 1_000, LongestTimes.WINDOW_MILLIS);

        assertEquals(Option.some(4_000L), times.longestMillis("draft", LongestTimes.WINDOW_MILLIS + 1));
        assertEquals(Option.some(1_000L), times.longestMillis("draft", 2 * LongestTimes.WINDOW_MILLIS));
        assertEquals(Option.none(), times.longestMillis("draft", 9 * LongestTimes.WINDOW_MILLIS));
        assertEquals(Option.none(), times.longestMillis("query", 0));
    }
}
