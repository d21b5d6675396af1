package org.rattanplank.cli;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;

/** Reconstructs the history of a request from the logs of all hosts. Run once by one thread. */
@Parameters(commandDescription = "show the history of a request from logs")
final class WhyCommand extends Command {
    @Parameter(description = "REQUEST-ID", required = true)
    private String requestId = "";

    @ParametersDelegate
    private final LogFiles logs = new LogFiles();

    @Override
    Report run(Console console) {
        return logs.lines().fold(failure -> failure, this::timelineReport);
    }

    private Report timelineReport(List<String> log) {
        List<JsonNode> lines = RequestTimeline.linesOf(requestId, log);
        if (lines.isEmpty()) {
            return Report.of(ExitCode.REFUSED, "no line of request " + requestId + " in these logs");
        }
        RequestTimeline timeline = RequestTimeline.of(lines);
        ArrayNode json = JsonHttpClient.JSON.createArrayNode();
        timeline.lines().forEach(json::add);
        return Report.of(ExitCode.DONE, timeline.text(), json);
    }
}
