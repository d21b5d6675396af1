package org.rattanplank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;

/** The flag for the hosts' log files, shared by the commands that read them. Written by JCommander, then read by one thread. */
final class LogFiles {
    @Parameter(
            names = "--logs",
            description = "files with the standard output of the hosts",
            variableArity = true,
            required = true)
    private List<String> logs = new ArrayList<>();

    /** Reads the lines of all files, or returns a report that names an unreadable file. */
    Either<Report, List<String>> lines() {
        List<String> lines = new ArrayList<>();
        for (String log : logs) {
            try {
                lines.addAll(Files.readAllLines(Path.of(log)));
            } catch (IOException e) {
                return Either.left(Report.of(ExitCode.USAGE, "cannot read " + log + ": " + e.getMessage()));
            }
        }
        return Either.right(lines);
    }
}
