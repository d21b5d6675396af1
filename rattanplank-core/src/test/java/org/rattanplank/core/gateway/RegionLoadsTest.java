package org.rattanplank.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RegionLoadsTest {
    private static final String REGION = "labasa";
    private static final String SERVICE = "drafts";
    private static final long UNTIL_MILLIS = 3_000;

    private final RegionLoads loads = new RegionLoads();

    private double expectedMillis(long nowMillis) {
        return loads.expectedMillis(REGION, SERVICE, Urgency.FIRST, 100, nowMillis);
    }

    private void report(double expectedMillis) {
        loads.reported(REGION, SERVICE, Urgency.FIRST, expectedMillis, 0.1, UNTIL_MILLIS);
    }

    @Test
    void shouldAddWhatWasSentWhenTheRegionHasNotReportedSince() {
        report(50);
        assertEquals(60, expectedMillis(0));
        loads.sent(REGION, SERVICE, 200);
        assertEquals(80, expectedMillis(0));
        report(70);
        assertEquals(80, expectedMillis(0));
    }

    /**
     * Symptom: requests go to another region and come back, two crossings late. Sequence: its targets are evacuated; it
     * refuses a request. Cause: its report from before was believed until it was seconds old.
     */
    @Test
    void shouldSendNothingWhenTheRegionRefusedUntilItReportsAgain() {
        report(50);
        loads.refused(REGION, SERVICE, Urgency.FIRST);
        assertEquals(Double.POSITIVE_INFINITY, expectedMillis(0));

        report(50);
        assertEquals(60, expectedMillis(0));
    }

    @Test
    void shouldGoOnSendingTheMoreUrgentWhenTheRegionRefusedALessUrgentRequest() {
        report(50);
        loads.refused(REGION, SERVICE, Urgency.LAST);
        assertEquals(60, expectedMillis(0));
    }

    @Test
    void shouldSendNothingWhenTheRegionSaysThatItCanNotServe() {
        report(Double.POSITIVE_INFINITY);
        assertEquals(Double.POSITIVE_INFINITY, expectedMillis(0));
    }

    @Test
    void shouldSendNothingWhenTheReportIsTooOld() {
        report(50);
        assertEquals(Double.POSITIVE_INFINITY, expectedMillis(UNTIL_MILLIS + 1));
    }
}
