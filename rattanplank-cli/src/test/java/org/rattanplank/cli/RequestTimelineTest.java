package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RequestTimelineTest {
    private static final List<String> ORIGIN_HOST_LOG = List.of(
            "  7.1 suva-1 {\"event\":\"forwarded\",\"host\":\"suva-1\",\"to\":\"labasa-1\",\"requestId\":\"q1\",\"timeMillis\":900}",
            "{\"event\":\"attempt_failed\",\"host\":\"suva-1\",\"failure\":\"UNKNOWN\",\"reason\":\"the link ended\","
                    + "\"requestId\":\"q1\",\"timeMillis\":950}",
            "{\"event\":\"ended\",\"host\":\"suva-1\",\"outcome\":\"502\",\"reason\":\"the link ended\",\"requestId\":\"q1\","
                    + "\"timeMillis\":951}",
            "{\"event\":\"ended\",\"host\":\"suva-1\",\"outcome\":\"answered\",\"requestId\":\"q2\",\"timeMillis\":10}");

    private static final List<String> FORWARDED_HOST_LOG = List.of(
            "{\"event\":\"forward_taken\",\"host\":\"labasa-1\",\"from\":\"suva-1\",\"target\":\"t9\",\"requestId\":\"q1\","
                    + "\"timeMillis\":5}",
            "{\"event\":\"ended\",\"host\":\"labasa-1\",\"forwardedBy\":\"suva-1\",\"outcome\":\"cancelled\","
                    + "\"requestId\":\"q1\",\"timeMillis\":60}",
            "not json at all q1 {");

    private static List<String> timelineOf(String requestId) {
        List<JsonNode> lines = new ArrayList<>(RequestTimeline.linesOf(requestId, FORWARDED_HOST_LOG));
        lines.addAll(RequestTimeline.linesOf(requestId, ORIGIN_HOST_LOG));
        return RequestTimeline.of(lines).text();
    }

    @Test
    void shouldPlaceForwardedHostLinesAfterForwardingWhenClocksDiffer() {
        List<String> text = timelineOf("q1");

        assertEquals(6, text.size(), text::toString);
        assertTrue(text.get(0).startsWith("suva-1: forwarded to=labasa-1"), text::toString);
        assertTrue(text.get(1).startsWith("    labasa-1: forward_taken"), text::toString);
        assertTrue(text.get(3).startsWith("suva-1: attempt_failed"), text::toString);
    }

    @Test
    void shouldNameFailedAttemptWhenRequestFailed() {
        List<String> text = timelineOf("q1");

        assertEquals(
                "so: 502, the link ended; attempts that failed: UNKNOWN, the link ended", text.get(text.size() - 1));
    }

    @Test
    void shouldSkipOtherRequestsWhenLogIsInterleaved() {
        assertEquals("so: answered", timelineOf("q2").get(1));
    }
}
