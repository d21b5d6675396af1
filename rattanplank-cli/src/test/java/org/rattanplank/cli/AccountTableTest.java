package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AccountTableTest {
    private static final String ANSWERED = "answered\",\"status\":200";
    private static final String REFUSED = "refused\",\"status\":503";
    private static final String OVER_ALLOWANCE = "over_allowance\",\"status\":429";

    private final List<String> log = new ArrayList<>();

    private void add(int requests, String account, String outcome) {
        for (int i = 0; i < requests; i++) {
            log.add("{\"event\":\"ended\",\"route\":\"torque\",\"account\":\"" + account + "\",\"outcome\":\"" + outcome
                    + "}");
        }
    }

    private LossTable table() {
        LossTable table = new LossTable();
        table.add(log);
        return table;
    }

    /** Guards against a small account that is hardly served, a loss that the totals of all accounts conceal. */
    @Test
    void shouldFlagAnAccountWhenItIsServedLessThanAQuarterAsOftenAsAll() {
        add(95, "large", ANSWERED);
        add(1, "small", ANSWERED);
        add(4, "small", REFUSED);

        LossTable table = table();

        assertTrue(
                table.text().contains("client accounts: 2, 100 requests, 0.96 of them served; the tenth served least:"),
                table.text()::toString);
        assertTrue(
                table.text().contains("        5  small: 0.20 served, 0.21 of all accounts', LESS THAN A QUARTER"),
                table.text()::toString);
        JsonNode row = table.accountsJson().get(0);
        assertEquals("small", row.path("account").asText());
        assertTrue(row.path("starved").asBoolean());
    }

    @Test
    void shouldNotCountRequestsWhenTheyAreOverTheAllowance() {
        add(2, "hot", ANSWERED);
        add(98, "hot", OVER_ALLOWANCE);
        add(2, "usual", ANSWERED);

        JsonNode row = table().accountsJson().get(0);

        assertEquals(2, row.path("requests").asInt());
        assertFalse(row.path("starved").asBoolean());
    }

    @Test
    void shouldListTheLeastServedTenthWhenThereAreManyAccounts() {
        for (int i = 0; i < 20; i++) {
            add(20 - i, "account-" + i, ANSWERED);
            add(i, "account-" + i, REFUSED);
        }

        JsonNode rows = table().accountsJson();

        assertEquals(2, rows.size());
        assertEquals("account-19", rows.get(0).path("account").asText());
        assertEquals("account-18", rows.get(1).path("account").asText());
    }

    @Test
    void shouldPrintNoAccountsWhenRequestsBelongToNone() {
        log.add("{\"event\":\"ended\",\"route\":\"torque\",\"outcome\":\"" + ANSWERED + "}");

        assertTrue(table().text().stream().noneMatch(line -> line.startsWith("client accounts")));
        assertEquals(0, table().accountsJson().size());
    }
}
