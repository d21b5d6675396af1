package org.rattanplank.cli;

import java.util.List;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Counts the outcomes of requests, and the served fractions of the largest generations and of client accounts, from the logs
 * of all hosts. Run once by one thread.
 */
@Parameters(
        commandDescription =
                "count request outcomes and served fractions of the largest generations of each route, and of the client"
                        + " accounts served least, from logs")
final class LossesCommand extends Command {
    @ParametersDelegate
    private final LogFiles logs = new LogFiles();

    @Override
    Report run(Console console) {
        return logs.lines().fold(failure -> failure, LossesCommand::count);
    }

    private static Report count(List<String> lines) {
        LossTable table = new LossTable();
        table.add(lines);
        if (table.isEmpty()) {
            return Report.of(ExitCode.REFUSED, "these logs tell the end of no request");
        }
        return Report.of(ExitCode.DONE, table.text(), json(table));
    }

    private static ObjectNode json(LossTable table) {
        ObjectNode json = JsonHttpClient.JSON.createObjectNode();
        json.set("causes", table.json());
        json.set("sizes", table.sizesJson());
        json.set("accounts", table.accountsJson());
        return json;
    }
}
