package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

/** Shows which entry hosts callers are sent to. Run once by one thread. */
@Parameters(commandDescription = "show which entry hosts callers are sent to")
final class EntryHostsCommand extends Command {
    @Parameter(names = "--account", description = "the account whose order of hosts is wanted")
    private String account = "";

    @ParametersDelegate
    private final Connection connection = new Connection();

    @Override
    Report run(Console console) {
        return connection.operators(console).fold(refused -> refused, this::ask);
    }

    private Report ask(OperatorsClient operators) {
        String path = account.isEmpty() ? "/entry-hosts" : "/entry-hosts?account=" + account;
        for (String address : operators.addresses()) {
            Either<WebFailure, WebAnswer> answer = operators.get(address, path);
            if (answer.isRight() && answer.get().isGood()) {
                return show(answer.get().body());
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
        lines.add("ask again after " + entryHosts.path("ttlMillis").asLong() + " ms");
        return Report.of(ExitCode.DONE, lines, entryHosts);
    }
}
