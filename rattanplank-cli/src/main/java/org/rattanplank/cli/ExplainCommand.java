package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

/** Explains the routing of a request. Run once by one thread. */
@Parameters(commandDescription = "explain the routing of a request")
final class ExplainCommand extends Command {
    @Parameter(description = "REQUEST-ID", required = true)
    private String requestId = "";

    @ParametersDelegate
    private final ConnectionOptions connectionOptions = new ConnectionOptions();

    @Override
    Report run(Console console) {
        return connectionOptions.operators(console).fold(failure -> failure, this::query);
    }

    private Report query(OperatorsClient operators) {
        boolean anyReachable = false;
        for (String address : operators.addresses()) {
            Either<CallFailure, JsonResponse> response = operators.get(address, "/explain/" + requestId);
            if (response.isRight() && response.get().isSuccess()) {
                return show(response.get().body());
            }
            anyReachable |= response.isRight();
        }
        return anyReachable
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
                    + firstNonEmpty(
                            routing.at("/route/target"), routing.at("/route/host"), routing.at("/failure/reason")));
            for (JsonNode candidate : routing.path("candidates")) {
                lines.add("  " + candidate.path("peer").asText() + ": "
                        + candidate.path("verdict").asText() + ", score "
                        + candidate.path("score").asDouble());
            }
        }
        return Report.of(ExitCode.DONE, lines, explanation);
    }

    private static String firstNonEmpty(JsonNode... nodes) {
        for (JsonNode node : nodes) {
            if (node.isValueNode() && !node.asText().isEmpty()) {
                return node.asText();
            }
        }
        return "no target";
    }
}
