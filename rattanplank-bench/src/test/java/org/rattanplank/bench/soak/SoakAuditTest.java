package org.rattanplank.bench.soak;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SoakAuditTest {
    private static String event(int number, String id) {
        return "id: " + number + "\ndata: line " + number + " for " + id + " by w\n\n";
    }

    private static List<String> violations(SoakCall call, int runCount) {
        return SoakAudit.violations(List.of(call), Map.of(call.id(), runCount));
    }

    /** Guards against an innocent request that is refused because of another one's crashes. */
    @Test
    void shouldReportAViolationWhenAnInnocentRequestIsQuarantined() {
        assertEquals(
                1,
                violations(new SoakCall("q1", true, 503, "quarantined: targets crashed", true), 0)
                        .size());
    }

    @Test
    void shouldReportBookingWhenItIsExecutedTwice() {
        assertEquals(1, violations(new SoakCall("q1", false, 502, "", true), 2).size());
    }

    @Test
    void shouldReportNotRunResponseWhenBookingWasExecuted() {
        assertEquals(1, violations(new SoakCall("q1", false, 503, "", true), 1).size());
    }

    @Test
    void shouldReportResponseWhenItBelongsToAnotherRequest() {
        assertEquals(
                1,
                violations(new SoakCall("q1", false, 200, "{\"by\":\"d\",\"for\":\"q2\"}", true), 1)
                        .size());
    }

    @Test
    void shouldReportStreamWhenEventsAreDuplicatedOrMissing() {
        assertEquals(
                1,
                violations(new SoakCall("q1", true, 200, event(1, "q1") + event(3, "q1"), false), 1)
                        .size());
        assertEquals(
                1,
                violations(new SoakCall("q1", true, 200, event(1, "q1") + event(1, "q1"), false), 1)
                        .size());
        assertEquals(
                1,
                violations(new SoakCall("q1", true, 200, event(1, "q1"), true), 1)
                        .size());
    }

    @Test
    void shouldReportNothingWhenStreamEndsIncomplete() {
        assertTrue(violations(new SoakCall("q1", true, 200, event(1, "q1") + "id: 2\nda", false), 2)
                .isEmpty());
    }
}
