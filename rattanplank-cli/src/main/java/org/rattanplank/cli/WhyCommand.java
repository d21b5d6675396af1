package org.rattanplank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;

/** Tells from the logs of all hosts what happened to a request. Run once by one thread. */
@Parameters(commandDescription = "tell from logs what happened to a request")
final class WhyCommand extends Command {
    @Parameter(description = "REQUEST-ID", required = true)
    private String requestId = "";

    @Parameter(
            names = "--logs",
            description = "files with the standard output of the hosts, one after the other",
            variableArity = true,
            required = true)
    private List<String> logs = new ArrayList<>();

    @Override
    Report run(Console console) {
        List<JsonNode> lines = new ArrayList<>();
        for (String log : logs) {
            try {
                lines.addAll(RequestAccount.linesOf(requestId, Files.readAllLines(Path.of(log))));
            } catch (IOException e) {
                return Report.of(ExitCode.USAGE, "cannot read " + log + ": " + e.getMessage());
            }
        }
        if (lines.isEmpty()) {
            return Report.of(ExitCode.REFUSED, "no line of request " + requestId + " in these logs");
        }
        RequestAccount account = RequestAccount.of(lines);
        ArrayNode json = Web.JSON.createArrayNode();
        account.lines().forEach(json::add);
        return Report.of(ExitCode.DONE, account.text(), json);
    }
}
