package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SizeTableTest {
    private static final String ANSWERED = "\"outcome\":\"answered\",\"status\":200";
    private static final String CALLER_LEFT = "\"outcome\":\"caller_left\",\"status\":200";

    private static String endedLine(int promptTokens, int outputTokens, String outcome) {
        return "{\"event\":\"ended\",\"route\":\"torque\",\"promptTokens\":" + promptTokens + ",\"outputTokens\":"
                + outputTokens + "," + outcome + "}";
    }

    private static LossTable table(List<String> lines) {
        LossTable table = new LossTable();
        table.add(lines);
        return table;
    }

    /** Returns ten generations of growing output; callers abandoned those from the given number on, the others were answered. */
    private static List<String> tenGenerations(int firstAbandoned) {
        List<String> lines = new ArrayList<>();
        for (int i = 1; i <= 10; i++) {
            lines.add(endedLine(100, 10 * i, i >= firstAbandoned ? CALLER_LEFT : ANSWERED));
        }
        return lines;
    }

    private static JsonNode row(LossTable table, String sizes) {
        for (JsonNode row : table.sizesJson()) {
            if (row.path("sizes").asText().equals(sizes)) {
                return row;
            }
        }
        throw new AssertionError(sizes + " is not in " + table.sizesJson());
    }

    /** Guards against long streams that start in time but never end, a loss that the totals of their route conceal. */
    @Test
    void shouldFlagLargestTenthWhenCallersAbandonLongStreams() {
        LossTable table = table(tenGenerations(10));

        assertTrue(
                table.text().contains("torque by size: 10 generations, 0.90 of them served"), table.text()::toString);
        assertTrue(
                table.text().contains("        1  largest tenth: 0.00 served, 0.00 of the route's, LESS THAN HALF"),
                table.text()::toString);
        assertTrue(
                table.text().contains("        2  fifth below it: 1.00 served, 1.11 of the route's"),
                table.text()::toString);
        assertTrue(row(table, "largest tenth").path("tooSmall").asBoolean());
        assertFalse(row(table, "fifth below it").path("tooSmall").asBoolean());
    }

    @Test
    void shouldFlagFifthBelowWhenOnlyLargestTenthIsServed() {
        List<String> lines = tenGenerations(8);
        lines.set(9, endedLine(100, 100, ANSWERED));

        LossTable table = table(lines);

        assertFalse(row(table, "largest tenth").path("tooSmall").asBoolean());
        assertTrue(row(table, "fifth below it").path("tooSmall").asBoolean());
    }

    @Test
    void shouldWeighOutputTokensTenfoldWhenPromptsDiffer() {
        LossTable ofOneToken = table(
                List.of(endedLine(999, 1, ANSWERED), endedLine(1_008, 0, CALLER_LEFT), endedLine(8, 100, CALLER_LEFT)));
        LossTable ofManyTokens = table(List.of(
                endedLine(999, 1, CALLER_LEFT), endedLine(1_008, 0, CALLER_LEFT), endedLine(10, 100, ANSWERED)));

        assertEquals(1.0, row(ofOneToken, "largest tenth").path("servedShare").asDouble());
        assertEquals(1.0, row(ofManyTokens, "largest tenth").path("servedShare").asDouble());
    }

    @Test
    void shouldReportSameShareForAllBandsWhenSizesAreEqual() {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            lines.add(endedLine(100, 10, i < 10 ? CALLER_LEFT : ANSWERED));
        }
        LossTable table = table(lines);

        assertEquals(1.0, row(table, "largest tenth").path("ofRoute").asDouble());
        assertEquals(1.0, row(table, "fifth below it").path("ofRoute").asDouble());
    }

    @Test
    void shouldReportSameSharesWhenLogsAreReadInAnotherOrder() {
        List<String> lines = new ArrayList<>(tenGenerations(7));
        lines.addAll(tenGenerations(4));
        LossTable first = table(lines);
        Collections.shuffle(lines, new Random(1));

        assertEquals(first.sizesJson(), table(lines).sizesJson());
    }

    @Test
    void shouldCountLateResponsesAsServedAndFailuresAsNotServedWhenSizeIsLogged() {
        LossTable table = table(List.of(
                endedLine(100, 10, ANSWERED + ",\"pauseTooLong\":true"),
                endedLine(100, 10, "\"outcome\":\"answered\",\"status\":500"),
                endedLine(100, 10, "\"outcome\":\"answered\",\"status\":429"),
                endedLine(100, 10, "\"outcome\":\"refused\",\"status\":503")));

        assertEquals(0.25, row(table, "largest tenth").path("routeServedShare").asDouble());
    }

    @Test
    void shouldFlagNothingWhenRouteServedNothing() {
        LossTable table = table(tenGenerations(1));

        assertTrue(row(table, "largest tenth").path("ofRoute").isNull());
        assertFalse(row(table, "largest tenth").path("tooSmall").asBoolean());
    }

    @Test
    void shouldReportNoSizesWhenRouteHasNoGenerations() {
        LossTable table = table(List.of("{\"event\":\"ended\",\"route\":\"crew\"," + ANSWERED + "}"));

        assertTrue(table.sizesJson().isEmpty());
        assertEquals(2, table.text().size());
    }

    @Test
    void shouldCountRequestOnceWhenAnotherHostServedIt() {
        LossTable table = table(
                List.of(endedLine(100, 10, ANSWERED), endedLine(100, 10, ANSWERED + ",\"forwardedBy\":\"suva-1\"")));

        assertEquals(1, row(table, "largest tenth").path("requests").asInt());
        assertEquals(1, table.sizesJson().size());
    }
}
