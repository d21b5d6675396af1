package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

/** Shows the entry hosts that callers are directed to. Run once by one thread. */
@Parameters(commandDescription = "show the entry hosts that callers are directed to")
final class EntryHostsCommand extends Command {
    @Parameter(names = "--account", description = "client account whose host order is shown")
    private String account = "";

    @ParametersDelegate
    private final ConnectionOptions connectionOptions = new ConnectionOptions();

    @Override
    Report run(Console console) {
        return connectionOptions.operators(console).fold(failure -> failure, this::query);
    }

    private Report query(OperatorsClient operators) {
        String path = account.isEmpty() ? "/entry-hosts" : "/entry-hosts?account=" + account;
        for (String address : operators.addresses()) {
            Either<CallFailure, JsonResponse> response = operators.get(address, path);
            if (response.isRight() && response.get().isSuccess()) {
                return show(response.get().body());
            }
        }
        return Report.of(ExitCode.UNREACHABLE, "no entry host answers");
    }

    private static Report show(JsonNode entryHosts) {
        List<String> lines = new ArrayList<>();
        for (JsonNode host : entryHosts.path("hosts")) {
            lines.add(host.path("host").asText() + " in "
                    + host.path("dataCentre").asText() + " at "
                    + host.path("address").asText() + ":" + host.path("port").asInt());
        }
        lines.add("refresh after " + entryHosts.path("ttlMillis").asLong() + " ms");
        return Report.of(ExitCode.DONE, lines, entryHosts);
    }
}
