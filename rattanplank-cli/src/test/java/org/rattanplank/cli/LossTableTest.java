package org.rattanplank.cli;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LossTableTest {
    private static String endedLine(String fields) {
        return "12.3 suva-1 {\"event\":\"ended\",\"route\":\"drafts\"," + fields + "}";
    }

    @Test
    void shouldCountEachRequestOnceByFirstMatchingLossWhenLogsOfAllHostsAreRead() {
        LossTable table = new LossTable();
        table.add(List.of(
                endedLine("\"outcome\":\"answered\",\"status\":200"),
                endedLine("\"outcome\":\"answered\",\"status\":200,\"firstPartLate\":true,\"pauseTooLong\":true"),
                endedLine("\"outcome\":\"answered\",\"status\":200,\"pauseTooLong\":true"),
                endedLine("\"outcome\":\"answered\",\"status\":500"),
                endedLine("\"outcome\":\"refused\",\"reason\":\"it would wait too long\""),
                endedLine("\"outcome\":\"refused\",\"reason\":\"it would wait too long\""),
                endedLine("\"outcome\":\"504\",\"reason\":\"its time is up\""),
                endedLine("\"outcome\":\"answered\",\"forwardedBy\":\"labasa-1\""),
                "{\"event\":\"ended\",\"route\":\"\",\"outcome\":\"404\"}",
                "no line of ours"));

        assertEquals("drafts: 7 requests", table.text().get(0));
        assertEquals(
                "        2   28.6 %  refused: it would wait too long",
                table.text().get(1));
        assertTrue(table.text().contains("        1   14.3 %  first part late"), table.text()::toString);
        assertTrue(table.text().contains("        1   14.3 %  failed by its target"), table.text()::toString);
        assertTrue(
                table.text().contains("        1   14.3 %  ended without an answer: its time is up"),
                table.text()::toString);
        assertEquals(6, table.json().size());
    }

    @Test
    void shouldReportNumberOfMissingLinesWhenLogDroppedSome() {
        LossTable table = new LossTable();
        table.add(List.of(endedLine("\"outcome\":\"answered\""), "{\"event\":\"lines_dropped\",\"lines\":4}"));

        assertTrue(table.text().get(2).startsWith("4 lines were left out"), table.text()::toString);
    }
}
