package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

/** Tells why a request went where it went. Run once by one thread. */
@Parameters(commandDescription = "tell why a request went where it went")
final class ExplainCommand extends Command {
    @Parameter(description = "REQUEST-ID", required = true)
    private String requestId = "";

    @ParametersDelegate
    private final Connection connection = new Connection();

    @Override
    Report run(Console console) {
        return connection.operators(console).fold(refused -> refused, this::ask);
    }

    private Report ask(OperatorsClient operators) {
        boolean reached = false;
        for (String address : operators.addresses()) {
            Either<WebFailure, WebAnswer> answer = operators.get(address, "/explain/" + requestId);
            if (answer.isRight() && answer.get().isGood()) {
                return show(answer.get().body());
            }
            reached |= answer.isRight();
        }
        return reached
                ? Report.of(ExitCode.REFUSED, "no entry host remembers request " + requestId)
                : Report.of(ExitCode.UNREACHABLE, "no entry host answers");
    }

    private static Report show(JsonNode explanation) {
        List<String> lines = new ArrayList<>();
        lines.add("request " + explanation.path("requestId").asText() + " for "
                + explanation.path("service").asText() + ": "
                + explanation.path("outcome").asText("running"));
        int attempt = 0;
        for (JsonNode routing : explanation.path("routings")) {
            attempt++;
            lines.add("attempt " + attempt + ": "
                    + firstOf(routing.at("/route/target"), routing.at("/route/host"), routing.at("/failure/reason")));
            for (JsonNode candidate : routing.path("candidates")) {
                lines.add("  " + candidate.path("peer").asText() + ": "
                        + candidate.path("verdict").asText() + ", score "
                        + candidate.path("score").asDouble());
            }
        }
        return Report.of(ExitCode.DONE, lines, explanation);
    }

    private static String firstOf(JsonNode... nodes) {
        for (JsonNode node : nodes) {
            if (node.isValueNode() && !node.asText().isEmpty()) {
                return node.asText();
            }
        }
        return "no target";
    }
}
