package org.rattanplank.cli;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;

/** Tells from the logs of all hosts what happened to a request. Run once by one thread. */
@Parameters(commandDescription = "tell from logs what happened to a request")
final class WhyCommand extends Command {
    @Parameter(description = "REQUEST-ID", required = true)
    private String requestId = "";

    @ParametersDelegate
    private final LogFiles logs = new LogFiles();

    @Override
    Report run(Console console) {
        return logs.lines().fold(unreadable -> unreadable, this::account);
    }

    private Report account(List<String> log) {
        List<JsonNode> lines = RequestAccount.linesOf(requestId, log);
        if (lines.isEmpty()) {
            return Report.of(ExitCode.REFUSED, "no line of request " + requestId + " in these logs");
        }
        RequestAccount account = RequestAccount.of(lines);
        ArrayNode json = Web.JSON.createArrayNode();
        account.lines().forEach(json::add);
        return Report.of(ExitCode.DONE, account.text(), json);
    }
}
