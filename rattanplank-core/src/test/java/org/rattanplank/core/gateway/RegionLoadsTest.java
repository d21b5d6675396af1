package org.rattanplank.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RegionLoadsTest {
    private static final String REGION = "labasa";
    private static final String SERVICE = "drafts";
    private static final long UNTIL_MILLIS = 3_000;
    private static final int HOSTS = 30;
    private static final int DRAFTS = 10;
    private static final int DRAFT_TOKENS = 12_000;
    private static final double REPORTED_MILLIS = 90;
    private static final double OBJECTIVE_MILLIS = 1_000;

    /** An engine that prefills 50 tokens a millisecond, spread over 24 of them. */
    private static final double PER_TOKEN_MILLIS = 0.02 / 24;

    private final RegionLoads loads = new RegionLoads();

    private double expectedMillis(long nowMillis) {
        return loads.expectedMillis(REGION, SERVICE, Urgency.FIRST, 100, nowMillis);
    }

    private void report(double expectedMillis) {
        loads.update(REGION, SERVICE, Urgency.FIRST, expectedMillis, 0.1, UNTIL_MILLIS);
    }

    @Test
    void shouldAddSentRequestsWhenTheRegionHasNotReportedSince() {
        report(50);
        assertEquals(60, expectedMillis(0));
        loads.recordSent(REGION, SERVICE, Urgency.FIRST, 200, 1);
        assertEquals(80, expectedMillis(0));
        report(70);
        assertEquals(80, expectedMillis(0));
    }

    /** Guards against urgent requests being rejected as late because less urgent ones were sent to the same region. */
    @Test
    void shouldExpectNoLaterAnswerToAnUrgentRequestWhenALessUrgentOneWasSent() {
        report(50);
        loads.recordSent(REGION, SERVICE, Urgency.LAST, DRAFT_TOKENS, HOSTS);
        assertEquals(60, expectedMillis(0));
    }

    /**
     * Guards against forwarded requests taking up to twenty times as long as expected. Thirty hosts of a region at its
     * peak receive one report of another region, and each forwards ten drafts before the next one; it comes about when
     * a host adds only its own requests to the report, and not what the others send at the same time.
     */
    @Test
    void shouldFillARegionOnlyToTheObjectiveWhenManyHostsForwardByOneReport() {
        double sentMillis = 0;
        for (int host = 0; host < HOSTS; host++) {
            RegionLoads own = new RegionLoads();
            own.update(REGION, SERVICE, Urgency.LAST, REPORTED_MILLIS, PER_TOKEN_MILLIS, UNTIL_MILLIS);
            for (int i = 0; i < DRAFTS; i++) {
                double expectedMillis = own.expectedMillis(REGION, SERVICE, Urgency.LAST, DRAFT_TOKENS, 0);
                if (expectedMillis <= OBJECTIVE_MILLIS) {
                    own.recordSent(REGION, SERVICE, Urgency.LAST, DRAFT_TOKENS, HOSTS);
                    sentMillis += DRAFT_TOKENS * PER_TOKEN_MILLIS;
                }
            }
        }

        double oneEachMillis = HOSTS * DRAFT_TOKENS * PER_TOKEN_MILLIS;
        assertTrue(REPORTED_MILLIS + sentMillis <= OBJECTIVE_MILLIS + oneEachMillis, "work sent, ms: " + sentMillis);
        assertTrue(sentMillis >= (OBJECTIVE_MILLIS - REPORTED_MILLIS) / 2, "work sent, ms: " + sentMillis);
    }

    /**
     * Guards against requests being sent to another region and coming back, late by two network round trips. Its
     * targets are evacuated and it rejects a request; it comes about when its earlier report counts until it expires,
     * seconds later.
     */
    @Test
    void shouldSendNothingWhenTheRegionRejectedUntilItReportsAgain() {
        report(50);
        loads.recordRejected(REGION, SERVICE, Urgency.FIRST);
        assertEquals(Double.POSITIVE_INFINITY, expectedMillis(0));

        report(50);
        assertEquals(60, expectedMillis(0));
    }

    @Test
    void shouldContinueSendingTheMoreUrgentWhenTheRegionRejectedALessUrgentRequest() {
        report(50);
        loads.recordRejected(REGION, SERVICE, Urgency.LAST);
        assertEquals(60, expectedMillis(0));
    }

    @Test
    void shouldSendNothingWhenTheRegionReportsThatItCannotServe() {
        report(Double.POSITIVE_INFINITY);
        assertEquals(Double.POSITIVE_INFINITY, expectedMillis(0));
    }

    @Test
    void shouldSendNothingWhenTheReportIsTooOld() {
        report(50);
        assertEquals(Double.POSITIVE_INFINITY, expectedMillis(UNTIL_MILLIS + 1));
    }
}
