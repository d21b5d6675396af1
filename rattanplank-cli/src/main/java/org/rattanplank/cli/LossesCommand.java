package org.rattanplank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Counts from the logs of all hosts what requests were lost by. Run once by one thread. */
@Parameters(commandDescription = "count from logs what requests of each route were lost by")
final class LossesCommand extends Command {
    @Parameter(
            names = "--logs",
            description = "files with the standard output of the hosts, one after the other",
            variableArity = true,
            required = true)
    private List<String> logs = new ArrayList<>();

    @Override
    Report run(Console console) {
        LossTable table = new LossTable();
        for (String log : logs) {
            try {
                table.add(Files.readAllLines(Path.of(log)));
            } catch (IOException e) {
                return Report.of(ExitCode.USAGE, "cannot read " + log + ": " + e.getMessage());
            }
        }
        if (table.isEmpty()) {
            return Report.of(ExitCode.REFUSED, "these logs tell the end of no request");
        }
        return Report.of(ExitCode.DONE, table.text(), table.json());
    }
}
