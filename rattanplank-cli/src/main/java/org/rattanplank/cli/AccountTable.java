package org.rattanplank.cli;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Option;

/**
 * Fractions of served requests of the client accounts that were served least, compared with all accounts.
 *
 * <p>Invariant: only requests of client accounts are included, and of these none that was rejected because the account's
 * allowance was used up: they say nothing about how the account's other requests were served. Confined to one thread.
 */
final class AccountTable {
    private static final int ACCOUNTS_PER_ROW = 10;
    private static final double MIN_RATIO_TO_ALL = 0.25;

    private final Map<String, ServedCount> countsByAccount = new TreeMap<>();

    /** Adds the {@code ended} log line of a request at the entry host that received it from its caller. */
    void add(JsonNode endedLine) {
        String account = endedLine.path("account").asText();
        if (account.isEmpty() || endedLine.path("outcome").asText().equals("over_allowance")) {
            return;
        }
        countsByAccount.merge(account, new ServedCount(1, Loss.isServed(endedLine) ? 1 : 0), ServedCount::plus);
    }

    List<String> text() {
        if (countsByAccount.isEmpty()) {
            return List.of();
        }
        ServedCount all = all();
        Stream<String> header = Stream.of(String.format(
                Locale.ROOT,
                "client accounts: %d, %d requests, %.2f of them served; the tenth served least:",
                countsByAccount.size(),
                all.requests(),
                all.servedShare()));
        return Stream.concat(header, leastServed().stream().map(each -> text(each, all)))
                .toList();
    }

    ArrayNode json() {
        ArrayNode rows = JsonHttpClient.JSON.createArrayNode();
        ServedCount all = all();
        leastServed().forEach(account -> rows.addObject()
                .put("account", account.getKey())
                .put("requests", account.getValue().requests())
                .put("servedShare", account.getValue().servedShare())
                .put("ofAll", ratioToAll(account.getValue(), all).getOrNull())
                .put("starved", isStarved(account.getValue(), all)));
        return rows;
    }

    /** Returns the tenth of the accounts that were served least, at least one, least first. */
    private List<Map.Entry<String, ServedCount>> leastServed() {
        int rows = (countsByAccount.size() + ACCOUNTS_PER_ROW - 1) / ACCOUNTS_PER_ROW;
        return countsByAccount.entrySet().stream()
                .sorted(Comparator.comparingDouble(account -> account.getValue().servedShare()))
                .limit(rows)
                .toList();
    }

    private ServedCount all() {
        return countsByAccount.values().stream().reduce(new ServedCount(0, 0), ServedCount::plus);
    }

    private static String text(Map.Entry<String, ServedCount> account, ServedCount all) {
        String ratio = ratioToAll(account.getValue(), all)
                .map(each -> String.format(Locale.ROOT, "%.2f of all accounts'", each))
                .getOrElse("nothing of any account was");
        return String.format(
                Locale.ROOT,
                "  %7d  %s: %.2f served, %s%s",
                account.getValue().requests(),
                account.getKey(),
                account.getValue().servedShare(),
                ratio,
                isStarved(account.getValue(), all) ? ", LESS THAN A QUARTER" : "");
    }

    private static Option<Double> ratioToAll(ServedCount account, ServedCount all) {
        return all.served() > 0 ? Option.some(account.servedShare() / all.servedShare()) : Option.none();
    }

    private static boolean isStarved(ServedCount account, ServedCount all) {
        return ratioToAll(account, all).exists(ratio -> ratio < MIN_RATIO_TO_ALL);
    }
}
